#include "lycheeshunt/daemon/agent_process.h"

#include "lycheeshunt/daemon/internal/self.h"
#include "lycheeshunt/dissemination/follower.h"
#include "lycheeshunt/flows/agent_port.h"
#include "lycheeshunt/flows/flow_duty.h"
#include "lycheeshunt/metrics/ring_sample.h"

namespace lycheeshunt::daemon {

base::result<std::unique_ptr<agent_process>>
agent_process::start(const settings::node_settings &settings, const settings::agent_settings &own)
{
    std::unique_ptr<agent_process> process(new agent_process());
    agent_process *raw = process.get();
    const membership::member self {settings.name,
                                   settings.availabilityZone,
                                   membership::member_role::agent,
                                   base::serviceIdOf(own.service),
                                   internal::newLife(),
                                   own.sockets.packets,
                                   membership::member_phase::serving};
    // No message reaches the flow thread before the port is open, so the sink finds it there.
    process->m_flows = std::make_unique<flows::flow_duty>(
        flows::agent_identity {self.id(), self.service, self.life, self.packets},
        [raw](const flows::flow_action &action) { raw->m_port->actions().tryPush(action); });
    base::result<std::unique_ptr<flows::agent_port>> port
        = flows::agent_port::open(own.sockets, self.life, process->m_flows->inbox());
    if (const base::error *failure = base::errorOf(port))
        return *failure;
    process->m_port = base::takeValue(std::move(port));
    process->m_follower = std::make_unique<dissemination::follower>(
        settings.control, self, self.life.value(), [raw](const dissemination::shared_view &view) {
            raw->m_flows->inbox().push(flows::view_update {view});
        });
    return process;
}

agent_process::agent_process() = default;

agent_process::~agent_process()
{
    m_follower.reset();
    m_flows->stop();
}

metrics::report agent_process::metrics() const
{
    std::vector<metrics::sample> samples {
        metrics::sample {"packets_malformed_total", "Datagrams that could not be decoded.",
                         metrics::counter_value {m_port->malformed()}},
        metrics::sample {"packets_refused_total", "Packets refused by code.",
                         metrics::counter_value {m_port->refused()}}};
    metrics::addRing(samples, "flows", m_flows->inbox());
    metrics::addRing(samples, "packets", m_port->actions());
    return metrics::report {"agent", std::move(samples)};
}

} // namespace lycheeshunt::daemon
