#include "lycheeshunt/daemon/agent_process.h"

#include "lycheeshunt/base/log.h"
#include "lycheeshunt/base/overloaded.h"
#include "lycheeshunt/daemon/internal/incarnation.h"
#include "lycheeshunt/dissemination/cluster_view.h"
#include "lycheeshunt/dissemination/follower.h"
#include "lycheeshunt/flows/agent_port.h"
#include "lycheeshunt/flows/flow_duty.h"
#include "lycheeshunt/metrics/ring_sample.h"

namespace lycheeshunt::daemon {

base::result<std::unique_ptr<agent_process>>
agent_process::start(const settings::node_settings &settings, const settings::agent_settings &own,
                     const packets::packet_codec &codec, reply_sink reply)
{
    std::unique_ptr<agent_process> process(new agent_process(own.service));
    agent_process *raw = process.get();
    const bool listens = static_cast<bool>(reply);
    const membership::member self {settings.name,
                                   settings.availabilityZone,
                                   membership::member_role::agent,
                                   base::serviceIdOf(own.service),
                                   internal::newIncarnation(),
                                   own.sockets.packets,
                                   membership::member_phase::serving};
    // No message reaches the flow thread before the port is open, so the sink never finds it null.
    process->m_flows = std::make_unique<flows::flow_duty>(
        flows::agent_identity {self.id(), self.service, self.incarnation, self.packets,
                               self.availabilityZone, listens, own.warmupSlack, own.reportsSpeed,
                               own.reportsFailures},
        [raw](const flows::flow_action &action) { raw->m_port->actions().tryPush(action); });
    base::result<std::unique_ptr<flows::agent_port>> port
        = flows::agent_port::open(own.sockets, codec, self.incarnation, process->m_flows->inbox());
    if (const base::error *failure = base::errorOf(port))
        return *failure;
    process->m_port = base::takeValue(std::move(port));
    if (listens)
        process->m_servers = std::make_unique<servers::server_duty>(
            own.service, self.incarnation,
            [raw, self, reply](const servers::server_action &action) {
                std::visit(
                    base::overloaded {
                        [&](const servers::server_status &status) {
                            raw->handleServerStatus(self, status);
                        },
                        [&](const servers::server_warmup &warmup) {
                            raw->m_flows->inbox().push(
                                flows::warmup_changed {warmup.coldUntil, warmup.serverStarts});
                        },
                        [&](const servers::confirm_announcement &confirmed) { reply(confirmed); },
                        [&](const servers::reject_announcement &rejected) {
                            raw->countRejection(rejected);
                            reply(rejected);
                        },
                    },
                    action);
            });
    process->m_follower = std::make_unique<dissemination::follower>(
        settings.control, self, self.incarnation.value(),
        [raw, self](const dissemination::shared_view &view) {
            raw->m_flows->inbox().push(flows::view_update {view});
            raw->restoreServer(*view, self);
        },
        [raw](base::incarnation incarnation) {
            if (raw->m_servers)
                raw->m_servers->inbox().tryPush(servers::incarnation_changed {incarnation});
        },
        !listens);
    return process;
}

void agent_process::restoreServer(const dissemination::cluster_view &view,
                                  const membership::member &self)
{
    const auto known = view.members.find(self.id());
    const auto definition = view.services.find(self.service);
    const bool wasServing = m_servers && !m_isRestoreChecked && known != view.members.end()
        && definition != view.services.end() && known->second.service == self.service
        && !view.isDrained(known->second);
    m_isRestoreChecked = true;
    if (wasServing)
        m_servers->inbox().tryPush(
            servers::server_restored {known->second.incarnation, definition->second.limits.slots});
}

// The status takes effect here at once and is published to the other VMs afterwards; until they
// have it, this agent refuses or forwards the packets that they send.
void agent_process::handleServerStatus(const membership::member &self,
                                       const servers::server_status &status)
{
    m_isAccepting = status.isAccepting;
    m_port->setIncarnation(status.incarnation);
    m_flows->inbox().push(flows::server_changed {status.incarnation, status.isAccepting,
                                                 status.slots, status.startedBeforeAgent});
    const membership::member_phase phase = status.isAccepting ? membership::member_phase::serving
                                                              : membership::member_phase::draining;
    if (m_follower)
        m_follower->changeSelf(dissemination::self_changed {
            membership::member {self.name, self.availabilityZone, self.role, self.service,
                                status.incarnation, self.packets, phase},
            !status.isServerStopping});
    base::logInfo("servers",
                  "server of " + m_service
                      + (status.isAccepting            ? " serves"
                             : status.isServerStopping ? " has left"
                                                       : " drains")
                      + ", incarnation " + std::to_string(status.incarnation.value()));
}

void agent_process::countRejection(const servers::reject_announcement &rejected)
{
    ++m_rejectedAnnouncements;
    base::logWarning("servers", "announcement rejected: " + rejected.reason.text());
}

agent_process::agent_process(std::string service) : m_service(std::move(service)) { }

agent_process::~agent_process()
{
    if (m_servers)
        m_servers->stop();
    m_follower.reset();
    m_flows->stop();
}

void agent_process::useControl(const std::vector<base::endpoint> &seeds)
{
    m_follower->addSeeds(seeds);
}

metrics::report agent_process::metrics() const
{
    std::vector<metrics::sample> samples {
        metrics::sample {"packets_malformed_total", "Datagrams that could not be decoded.",
                         metrics::counter_value {m_port->malformed()}},
        metrics::sample {"packets_refused_total", "Packets refused by code.",
                         metrics::counter_value {m_port->refused()}},
        metrics::sample {"callers_reset_total", "Flows refused or ended towards the caller.",
                         metrics::counter_value {m_port->resets()}},
        metrics::sample {"announcements_rejected_total",
                         "Announcements that name another service than the agent's settings.",
                         metrics::counter_value {m_rejectedAnnouncements.load()}}};
    for (const metrics::sample &counted : m_flows->meter().samples())
        samples.push_back(counted);
    metrics::addRing(samples, "flows", m_flows->inbox());
    metrics::addRing(samples, "packets", m_port->actions());
    return metrics::report {"agent", std::move(samples)};
}

} // namespace lycheeshunt::daemon
