#include "lycheeshunt/servers/server_duty.h"

#include "lycheeshunt/base/fault.h"
#include "lycheeshunt/servers/decision.h"

namespace lycheeshunt::servers {

namespace {

constexpr std::size_t inboxCapacity = 256;
constexpr base::clock_time tickInterval = base::clock_time::ofMillis(500);

servers_state initialState(std::string service, base::incarnation incarnation)
{
    servers_state state;
    state.service = std::move(service);
    state.incarnation = incarnation;
    return state;
}

} // namespace

server_duty::server_duty(std::string service, base::incarnation incarnation, action_sink sink)
    : m_state(initialState(std::move(service), incarnation)), m_sink(std::move(sink)),
      m_duty(inboxCapacity, tickInterval, servers_tick {},
             [this](const server_message &message, base::clock_time now) { handle(message, now); })
{
}

void server_duty::handle(const server_message &message, base::clock_time now)
{
    base::step<servers_state, server_action> next = decide(std::move(m_state), message, now);
    m_state = std::move(next.state);
    base::reportFault("servers", next.fault);
    for (const server_action &action : next.actions)
        m_sink(action);
}

} // namespace lycheeshunt::servers
