#include "lycheeshunt/flows/internal/peer_codec.h"

#include "lycheeshunt/base/codec.h"
#include "lycheeshunt/base/overloaded.h"
#include "lycheeshunt/placement/codec.h"

#include <tuple>

namespace lycheeshunt::flows::internal {

namespace {

using number = std::uint64_t;
using key_fields
    = std::tuple<std::uint32_t, std::uint16_t, std::uint32_t, std::uint16_t, std::uint8_t>;
// Node, incarnation, address, port.
using target_fields = std::tuple<number, number, std::uint32_t, std::uint16_t>;
using flow_fields = std::tuple<key_fields, bool>;
using registration_fields = std::tuple<std::uint8_t, std::uint8_t, number, target_fields, number,
                                       std::uint32_t, std::vector<flow_fields>>;
using ack_fields
    = std::tuple<std::uint8_t, std::uint8_t, number, number, number, number, std::uint32_t>;
using lookup_fields
    = std::tuple<std::uint8_t, std::uint8_t, number, key_fields, target_fields, number, bool>;
using answer_fields = std::tuple<std::uint8_t, std::uint8_t, number, key_fields, target_fields,
                                 number, std::uint8_t, target_fields>;
using request_fields = std::tuple<std::uint8_t, std::uint8_t, number, target_fields, key_fields>;
using page_fields
    = std::tuple<std::uint8_t, std::uint8_t, number, number, number, std::vector<key_fields>, bool>;

using hint_fields = std::tuple<std::uint8_t, std::uint8_t, number, key_fields, target_fields>;
using withdrawn_fields = std::tuple<std::uint8_t, std::uint8_t, number, key_fields, number>;
using report_fields = std::tuple<std::uint8_t, std::uint8_t, std::string>;

key_fields fieldsOf(const base::flow_key &key)
{
    return key_fields(key.caller.address, key.caller.port, key.service.address, key.service.port,
                      key.protocol);
}

base::flow_key keyOf(const key_fields &fields)
{
    return base::flow_key {base::endpoint {std::get<0>(fields), std::get<1>(fields)},
                           base::endpoint {std::get<2>(fields), std::get<3>(fields)},
                           std::get<4>(fields)};
}

target_fields fieldsOf(const routing::target &target)
{
    return target_fields(target.node.value(), target.incarnation.value(), target.packets.address,
                         target.packets.port);
}

routing::target targetOf(const target_fields &fields)
{
    return routing::target {base::node_id(std::get<0>(fields)),
                            base::incarnation(std::get<1>(fields)),
                            base::endpoint {std::get<2>(fields), std::get<3>(fields)}};
}

std::string encode(const registration_batch &batch)
{
    std::vector<flow_fields> flows;
    for (const registered_flow &flow : batch.flows)
        flows.emplace_back(fieldsOf(flow.key), flow.alive);
    return base::packFields(registration_fields(
        wireVersion, registrationKind, batch.service.value(), fieldsOf(batch.owner),
        batch.at.value(), batch.sequence, std::move(flows)));
}

std::string encode(const registration_ack &ack)
{
    return base::packFields(ack_fields(wireVersion, acknowledgementKind, ack.service.value(),
                                       ack.from.value(), ack.at.value(), ack.incarnation.value(),
                                       ack.sequence));
}

std::string encode(const flow_lookup &lookup)
{
    return base::packFields(lookup_fields(wireVersion, lookupKind, lookup.service.value(),
                                          fieldsOf(lookup.key), fieldsOf(lookup.asker),
                                          lookup.at.value(), lookup.isOpening));
}

std::string encode(const lookup_answer &answer)
{
    return base::packFields(
        answer_fields(wireVersion, lookupAnswerKind, answer.service.value(), fieldsOf(answer.key),
                      fieldsOf(answer.from), answer.at.value(),
                      static_cast<std::uint8_t>(answer.verdict), fieldsOf(answer.owner)));
}

std::string encode(const recovery_request &request)
{
    return base::packFields(request_fields(wireVersion, recoveryRequestKind,
                                           request.service.value(), fieldsOf(request.asker),
                                           fieldsOf(request.after)));
}

std::string encode(const recovery_page &page)
{
    std::vector<key_fields> flows;
    for (const base::flow_key &key : page.flows)
        flows.push_back(fieldsOf(key));
    return base::packFields(page_fields(wireVersion, recoveryPageKind, page.service.value(),
                                        page.from.value(), page.askerIncarnation.value(),
                                        std::move(flows), page.more));
}

std::string encode(const owner_hint &hint)
{
    return base::packFields(hint_fields(wireVersion, ownerHintKind, hint.service.value(),
                                        fieldsOf(hint.key), fieldsOf(hint.owner)));
}

std::string encode(const opening_hint &hint)
{
    return base::packFields(hint_fields(wireVersion, openingHintKind, hint.service.value(),
                                        fieldsOf(hint.key), fieldsOf(hint.owner)));
}

std::string encode(const hint_withdrawn &hint)
{
    return base::packFields(withdrawn_fields(wireVersion, hintWithdrawnKind, hint.service.value(),
                                             fieldsOf(hint.key), hint.node.value()));
}

std::string encode(const placement::load_report &report)
{
    return base::packFields(
        report_fields(wireVersion, loadReportKind, placement::encodeReport(report)));
}

// Whether the message has as many fields as its kind requires.
template <typename fields_type>
bool hasFields(const msgpack::object &object)
{
    return object.via.array.size == std::tuple_size_v<fields_type>;
}

base::result<peer_message> registrationFrom(const msgpack::object &object)
{
    const registration_fields fields = object.as<registration_fields>();
    std::vector<registered_flow> flows;
    for (const flow_fields &flow : std::get<6>(fields))
        flows.push_back(registered_flow {keyOf(std::get<0>(flow)), std::get<1>(flow)});
    if (flows.size() > maxFlowsInMessage)
        return base::error {base::error_code::messageTooLarge, "registration"};
    return peer_message(registration_batch {
        base::service_id(std::get<2>(fields)), targetOf(std::get<3>(fields)),
        base::generation(std::get<4>(fields)), std::get<5>(fields), std::move(flows)});
}

base::result<peer_message> ackFrom(const msgpack::object &object)
{
    const ack_fields fields = object.as<ack_fields>();
    return peer_message(
        registration_ack {base::service_id(std::get<2>(fields)), base::node_id(std::get<3>(fields)),
                          base::generation(std::get<4>(fields)),
                          base::incarnation(std::get<5>(fields)), std::get<6>(fields)});
}

base::result<peer_message> lookupFrom(const msgpack::object &object)
{
    const lookup_fields fields = object.as<lookup_fields>();
    return peer_message(flow_lookup {base::service_id(std::get<2>(fields)),
                                     keyOf(std::get<3>(fields)), targetOf(std::get<4>(fields)),
                                     base::generation(std::get<5>(fields)), std::get<6>(fields)});
}

base::result<peer_message> answerFrom(const msgpack::object &object)
{
    const answer_fields fields = object.as<answer_fields>();
    const std::uint8_t verdict = std::get<6>(fields);
    if (verdict < static_cast<std::uint8_t>(lookup_verdict::unknown)
        || verdict > static_cast<std::uint8_t>(lookup_verdict::mayOwn))
        return malformed("lookup verdict");
    return peer_message(
        lookup_answer {base::service_id(std::get<2>(fields)), keyOf(std::get<3>(fields)),
                       targetOf(std::get<4>(fields)), base::generation(std::get<5>(fields)),
                       static_cast<lookup_verdict>(verdict), targetOf(std::get<7>(fields))});
}

base::result<peer_message> requestFrom(const msgpack::object &object)
{
    const request_fields fields = object.as<request_fields>();
    return peer_message(recovery_request {base::service_id(std::get<2>(fields)),
                                          targetOf(std::get<3>(fields)),
                                          keyOf(std::get<4>(fields))});
}

base::result<peer_message> pageFrom(const msgpack::object &object)
{
    const page_fields fields = object.as<page_fields>();
    std::vector<base::flow_key> flows;
    for (const key_fields &flow : std::get<5>(fields))
        flows.push_back(keyOf(flow));
    if (flows.size() > maxFlowsInMessage)
        return base::error {base::error_code::messageTooLarge, "recovery page"};
    return peer_message(recovery_page {
        base::service_id(std::get<2>(fields)), base::node_id(std::get<3>(fields)),
        base::incarnation(std::get<4>(fields)), std::move(flows), std::get<6>(fields)});
}

base::result<peer_message> hintFrom(const msgpack::object &object)
{
    const hint_fields fields = object.as<hint_fields>();
    return peer_message(owner_hint {base::service_id(std::get<2>(fields)),
                                    keyOf(std::get<3>(fields)), targetOf(std::get<4>(fields))});
}

base::result<peer_message> openingHintFrom(const msgpack::object &object)
{
    const hint_fields fields = object.as<hint_fields>();
    return peer_message(opening_hint {base::service_id(std::get<2>(fields)),
                                      keyOf(std::get<3>(fields)), targetOf(std::get<4>(fields))});
}

base::result<peer_message> withdrawnFrom(const msgpack::object &object)
{
    const withdrawn_fields fields = object.as<withdrawn_fields>();
    return peer_message(hint_withdrawn {base::service_id(std::get<2>(fields)),
                                        keyOf(std::get<3>(fields)),
                                        base::node_id(std::get<4>(fields))});
}

base::result<peer_message> reportFrom(const msgpack::object &object)
{
    const base::result<placement::load_report> report
        = placement::decodeReport(std::get<2>(object.as<report_fields>()));
    if (const base::error *failure = base::errorOf(report))
        return *failure;
    return peer_message(base::valueOf(report));
}

} // namespace

base::error malformed(const char *what)
{
    return base::error {base::error_code::messageMalformed, what};
}

std::string encodePeerFields(const peer_message &message)
{
    return std::visit([](const auto &alternative) { return encode(alternative); }, message);
}

base::result<peer_message> decodePeerFields(std::uint8_t kind, const msgpack::object &object)
{
    if (kind == registrationKind && hasFields<registration_fields>(object))
        return registrationFrom(object);
    if (kind == acknowledgementKind && hasFields<ack_fields>(object))
        return ackFrom(object);
    if (kind == lookupKind && hasFields<lookup_fields>(object))
        return lookupFrom(object);
    if (kind == lookupAnswerKind && hasFields<answer_fields>(object))
        return answerFrom(object);
    if (kind == recoveryRequestKind && hasFields<request_fields>(object))
        return requestFrom(object);
    if (kind == recoveryPageKind && hasFields<page_fields>(object))
        return pageFrom(object);
    if (kind == ownerHintKind && hasFields<hint_fields>(object))
        return hintFrom(object);
    if (kind == loadReportKind && hasFields<report_fields>(object))
        return reportFrom(object);
    if (kind == openingHintKind && hasFields<hint_fields>(object))
        return openingHintFrom(object);
    if (kind == hintWithdrawnKind && hasFields<withdrawn_fields>(object))
        return withdrawnFrom(object);
    return malformed("unknown kind of datagram, or wrong number of fields");
}

} // namespace lycheeshunt::flows::internal
