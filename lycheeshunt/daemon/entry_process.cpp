#include "lycheeshunt/daemon/entry_process.h"

#include "lycheeshunt/daemon/internal/incarnation.h"
#include "lycheeshunt/dissemination/follower.h"
#include "lycheeshunt/metrics/ring_sample.h"
#include "lycheeshunt/routing/entry_port.h"
#include "lycheeshunt/routing/liveness_port.h"

namespace lycheeshunt::daemon {

base::result<std::unique_ptr<entry_process>>
entry_process::start(const settings::node_settings &settings, const settings::entry_settings &own,
                     const packets::packet_codec &codec)
{
    base::result<std::unique_ptr<routing::entry_port>> port = routing::entry_port::open(
        routing::entry_sockets {own.packets, own.hints, own.fabric, own.link, own.hedging}, codec);
    if (const base::error *failure = base::errorOf(port))
        return *failure;
    std::unique_ptr<entry_process> process(new entry_process(base::takeValue(std::move(port))));
    routing::entry_port *packets = process->m_port.get();
    base::result<std::unique_ptr<routing::liveness_port>> liveness = routing::liveness_port::open(
        base::endpoint {own.packets.address, 0},
        [packets](const routing::shared_bypass &bypass) { packets->updates().push(bypass); });
    if (const base::error *failure = base::errorOf(liveness))
        return *failure;
    process->m_liveness = base::takeValue(std::move(liveness));
    routing::liveness_port *watch = process->m_liveness.get();
    const membership::member self {settings.name,
                                   settings.availabilityZone,
                                   membership::member_role::entry,
                                   base::service_id(),
                                   internal::newIncarnation(),
                                   own.packets,
                                   membership::member_phase::serving};
    process->m_follower = std::make_unique<dissemination::follower>(
        settings.control, self, self.incarnation.value(),
        [packets, watch, latest = std::make_shared<const routing::routing_table>()](
            const dissemination::shared_view &view) mutable {
            latest = std::make_shared<const routing::routing_table>(*view, *latest);
            packets->updates().push(latest);
            watch->agents().push(routing::agents_changed {routing::probedAgents(*latest, *view)});
        });
    return process;
}

entry_process::entry_process(std::unique_ptr<routing::entry_port> port)
    : m_port(std::move(port)) { }

entry_process::~entry_process() = default;

bool entry_process::isReady() const
{
    return m_port->isReady();
}

void entry_process::useControl(const std::vector<base::endpoint> &seeds)
{
    m_follower->addSeeds(seeds);
}

metrics::report entry_process::metrics() const
{
    std::vector<metrics::sample> samples {
        metrics::sample {"packets_malformed_total", "Datagrams that are no IP packet.",
                         metrics::counter_value {m_port->malformed()}},
        metrics::sample {"packets_unroutable_total", "Packets without a service or server.",
                         metrics::counter_value {m_port->unroutable()}},
        metrics::sample {"packets_unsent_total", "Routed packets that could not be sent on.",
                         metrics::counter_value {m_port->unsent()}},
        metrics::sample {"packets_hinted_total", "Packets sent to the owner by a hint.",
                         metrics::counter_value {m_port->hinted()}},
        metrics::sample {"packets_paced_total", "Packets that waited for the link.",
                         metrics::counter_value {m_port->paced()}},
        metrics::sample {"packets_copies_total", "Copies of packets that still waited.",
                         metrics::counter_value {m_port->copies()}},
        metrics::sample {"packets_overflowed_total", "Packets for which no room was left.",
                         metrics::counter_value {m_port->overflowed()}},
        metrics::sample {"packets_waiting_bytes", "Bytes that wait for the link.",
                         metrics::gauge_value {static_cast<double>(m_port->waitingBytes())}},
        metrics::sample {"callers_reset_total", "Flows refused towards the caller.",
                         metrics::counter_value {m_port->resets()}},
        metrics::sample {"openings_hedged_total", "Second copies of opening packets sent.",
                         metrics::counter_value {m_port->hedged()}},
        metrics::sample {"openings_hedge_refused_total",
                         "Second copies of opening packets that the limit refused.",
                         metrics::counter_value {m_port->hedgesRefused()}},
        metrics::sample {"openings_hedge_evicted_total",
                         "Openings evicted before a second copy was due.",
                         metrics::counter_value {m_port->hedgesEvicted()}},
        metrics::sample {"agents_bypassed", "Agents that the entry finds unreachable.",
                         metrics::gauge_value {static_cast<double>(m_liveness->bypassed())}},
        m_port->openingAnswers()};
    metrics::addRing(samples, "updates", m_port->updates());
    return metrics::report {"entry", std::move(samples)};
}

} // namespace lycheeshunt::daemon
