#include "lycheeshunt/tickets/decision.h"

#include "lycheeshunt/base/overloaded.h"

namespace lycheeshunt::tickets {

namespace {

using services_by_name = std::map<std::string, service_definition>;
using ticket_step = base::step<ticket_state, ticket_action>;

void applyChange(services_by_name &services, const ticket_change &change)
{
    std::visit(base::overloaded {
                   [&](const service_definition &service) {
                       services.erase(service.name);
                       services.emplace(service.name, service);
                   },
                   [&](const service_removal &removal) { services.erase(removal.name); },
                   [](const drain_order &) {},
               },
               change);
}

void checkService(const service_definition &service, std::vector<base::error> &faults)
{
    if (service.name.empty())
        faults.push_back({base::error_code::ticketBadField, "service without a name"});
    if (service.limits.slots == 0 || service.limits.connections == 0)
        faults.push_back({base::error_code::ticketBadField, service.name + ": limits of zero"});
    if (service.buckets == 0)
        faults.push_back({base::error_code::ticketBadField, service.name + ": no buckets"});
}

void checkAddresses(const services_by_name &services, std::vector<base::error> &faults)
{
    std::map<service_address, std::string> holders;
    for (auto it = services.begin(); it != services.end(); ++it) {
        for (const service_address &address : it->second.addresses) {
            const auto [holder, isNew] = holders.emplace(address, it->first);
            if (!isNew)
                faults.push_back(
                    {base::error_code::ticketAddressClash,
                     address.where.text() + " in " + holder->second + " and " + it->first});
        }
    }
}

void submit(ticket_state &state, const submit_ticket &message, std::vector<ticket_action> &actions)
{
    const ticket &wanted = message.ticket;
    const base::error taken {base::error_code::ticketNumberTaken,
                             "ticket " + std::to_string(wanted.number.value())};
    const auto known = state.records.find(wanted.number);
    if (known != state.records.end()) {
        if (known->second.ticket == wanted)
            actions.emplace_back(ticket_answer {message.request, known->second});
        else
            actions.emplace_back(ticket_answer {message.request, ticket_refusal {{taken}}});
        return;
    }
    const auto proposed = state.pending.find(wanted.number);
    if (proposed != state.pending.end()) {
        if (proposed->second.ticket != wanted) {
            actions.emplace_back(ticket_answer {message.request, ticket_refusal {{taken}}});
            return;
        }
        std::vector<base::request_id> waiting = proposed->second.waiting;
        waiting.push_back(message.request);
        state.pending.erase(proposed);
        state.pending.emplace(wanted.number, pending_ticket {wanted, std::move(waiting)});
        return;
    }
    std::vector<base::error> faults = faultsOf(wanted, state.services);
    if (!faults.empty()) {
        actions.emplace_back(ticket_answer {message.request, ticket_refusal {std::move(faults)}});
        return;
    }
    state.pending.emplace(wanted.number, pending_ticket {wanted, {message.request}});
    actions.emplace_back(propose_ticket {wanted});
}

void show(const ticket_state &state, const show_ticket &message,
          std::vector<ticket_action> &actions)
{
    const auto known = state.records.find(message.number);
    if (known != state.records.end()) {
        actions.emplace_back(ticket_answer {message.request, known->second});
        return;
    }
    const base::error unknown {base::error_code::ticketUnknown,
                               "ticket " + std::to_string(message.number.value())};
    actions.emplace_back(ticket_answer {message.request, ticket_refusal {{unknown}}});
}

void commit(ticket_state &state, const ticket_committed &message,
            std::vector<ticket_action> &actions)
{
    const ticket_record &record = message.record;
    const base::ticket_number number = record.ticket.number;
    const bool isFirst = state.records.emplace(number, record).second;
    if (isFirst) {
        for (const ticket_change &change : record.ticket.changes)
            applyChange(state.services, change);
    }
    const auto proposed = state.pending.find(number);
    if (proposed == state.pending.end())
        return;
    for (const base::request_id &request : proposed->second.waiting)
        actions.emplace_back(ticket_answer {request, state.records.at(number)});
    state.pending.erase(proposed);
}

} // namespace

std::vector<base::error> faultsOf(const ticket &ticket, const services_by_name &services)
{
    std::vector<base::error> faults;
    if (ticket.number.value() == 0)
        faults.push_back({base::error_code::ticketBadField, "number must be 1 or more"});
    if (ticket.changes.empty())
        faults.push_back({base::error_code::ticketBadField, "ticket changes nothing"});
    services_by_name after = services;
    for (const ticket_change &change : ticket.changes) {
        if (const service_definition *service = std::get_if<service_definition>(&change))
            checkService(*service, faults);
        applyChange(after, change);
    }
    checkAddresses(after, faults);
    return faults;
}

ticket_step decide(ticket_state state, const ticket_message &message)
{
    std::vector<ticket_action> actions;
    std::visit(base::overloaded {
                   [&](const submit_ticket &wanted) { submit(state, wanted, actions); },
                   [&](const show_ticket &question) { show(state, question, actions); },
                   [&](const ticket_committed &done) { commit(state, done, actions); },
               },
               message);
    return ticket_step {std::move(state), std::move(actions)};
}

} // namespace lycheeshunt::tickets
