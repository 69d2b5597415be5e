#include "lycheeshunt/daemon/control_process.h"

#include "lycheeshunt/base/log.h"
#include "lycheeshunt/base/overloaded.h"
#include "lycheeshunt/dissemination/codec.h"
#include "lycheeshunt/dissemination/publisher_duty.h"
#include "lycheeshunt/membership/codec.h"
#include "lycheeshunt/membership/membership_duty.h"
#include "lycheeshunt/metrics/ring_sample.h"
#include "lycheeshunt/operators/api_server.h"
#include "lycheeshunt/operators/operator_duty.h"
#include "lycheeshunt/operators/token_file.h"
#include "lycheeshunt/replication/replication_duty.h"
#include "lycheeshunt/streams/stream_server.h"
#include "lycheeshunt/tickets/codec.h"
#include "lycheeshunt/tickets/ticket_duty.h"

namespace lycheeshunt::daemon {

base::result<std::unique_ptr<control_process>>
control_process::start(const settings::node_settings &, const settings::control_settings &own)
{
    std::string token;
    if (!own.tokenFile.empty()) {
        const base::result<std::string> read = operators::readToken(own.tokenFile);
        if (const base::error *failure = base::errorOf(read))
            return *failure;
        token = base::valueOf(read);
    }
    base::result<replication::log_store> store = replication::log_store::open(own.dataFolder);
    if (const base::error *failure = base::errorOf(store))
        return *failure;
    std::unique_ptr<control_process> process(new control_process());
    control_process *raw = process.get();
    process->startDuties();
    process->startOperators(token);
    process->m_replication = std::make_unique<replication::replication_duty>(
        base::takeValue(std::move(store)),
        [raw](const replication::log_entry &entry) { raw->takeCommitted(entry); });
    base::result<std::unique_ptr<streams::stream_server>> streams = streams::stream_server::listen(
        own.streams, streams::stream_timing {},
        [raw](const streams::stream_event &event) { raw->takeStreamEvent(event); });
    if (const base::error *failure = base::errorOf(streams))
        return *failure;
    process->m_streams = base::takeValue(std::move(streams));
    base::result<std::unique_ptr<operators::api_server>> api
        = operators::api_server::open(own.api, process->m_operators->inbox());
    if (const base::error *failure = base::errorOf(api))
        return *failure;
    process->m_api = base::takeValue(std::move(api));
    return process;
}

control_process::control_process() = default;

// The threads end before anything that they use is destroyed.
control_process::~control_process()
{
    if (m_replication)
        m_replication->stop();
    m_operators->stop();
    m_publisher->stop();
    m_membership->stop();
    m_tickets->stop();
}

void control_process::startDuties()
{
    m_tickets
        = std::make_unique<tickets::ticket_duty>([this](const tickets::ticket_action &action) {
              return std::visit(
                  base::overloaded {
                      [this](const tickets::propose_ticket &proposed) {
                          return m_replication->proposals().tryPush(
                              replication::proposal {replication::entry_kind::ticket,
                                                     tickets::encodeTicket(proposed.ticket)});
                      },
                      [this](const tickets::ticket_answer &answer) {
                          return m_operators->inbox().tryPush(answer);
                      },
                  },
                  action);
          });
    m_membership = std::make_unique<membership::membership_duty>(
        [this](const membership::membership_action &action) {
            std::visit(base::overloaded {
                           [this](const membership::propose_batch &proposed) {
                               m_replication->proposals().tryPush(
                                   replication::proposal {replication::entry_kind::membership,
                                                          membership::encodeBatch(proposed.batch)});
                           },
                           [](const membership::report_clash &clash) {
                               base::logWarning("membership",
                                                clash.loser.name
                                                    + " is ignored: " + clash.winner.name
                                                    + " holds " + clash.winner.packets.text());
                           },
                       },
                       action);
        });
    m_publisher = std::make_unique<dissemination::publisher_duty>(
        [this](const dissemination::dissemination_action &action) {
            std::visit(base::overloaded {
                           [this](const dissemination::send_to_node &send) {
                               m_streams->outgoing().tryPush(streams::stream_frame {
                                   send.connection, streams::channel::dissemination,
                                   dissemination::encodeControlMessage(send.message)});
                           },
                           [this](const dissemination::force_answer &answer) {
                               m_operators->inbox().tryPush(answer);
                           },
                       },
                       action);
        });
}

void control_process::startOperators(const std::string &token)
{
    m_operators = std::make_unique<operators::operator_duty>(
        token, [this](const operators::operator_action &action) {
            std::visit(
                base::overloaded {
                    [this](const tickets::submit_ticket &submit) {
                        m_tickets->inbox().push(submit);
                    },
                    [this](const tickets::show_ticket &show) { m_tickets->inbox().push(show); },
                    [this](const dissemination::force_query &query) {
                        m_publisher->inbox().push(query);
                    },
                    [this](const operators::http_reply &reply) { m_api->reply(reply); },
                },
                action);
        });
}

void control_process::takeCommitted(const replication::log_entry &entry)
{
    if (entry.kind == replication::entry_kind::ticket) {
        const base::result<tickets::ticket> ticket = tickets::decodeTicket(entry.payload);
        if (const tickets::ticket *known = std::get_if<tickets::ticket>(&ticket)) {
            m_tickets->inbox().push(tickets::ticket_committed {
                tickets::ticket_record {*known, entry.index, entry.acceptedAt}});
            m_publisher->inbox().push(dissemination::ticket_applied {entry.index, *known});
        }
    } else if (entry.kind == replication::entry_kind::membership) {
        const base::result<membership::membership_batch> batch
            = membership::decodeBatch(entry.payload);
        if (const membership::membership_batch *known
            = std::get_if<membership::membership_batch>(&batch)) {
            m_membership->inbox().push(membership::batch_committed {*known});
            m_publisher->inbox().push(dissemination::batch_applied {entry.index, *known});
        }
    }
}

void control_process::takeStreamEvent(const streams::stream_event &event)
{
    std::visit(
        base::overloaded {
            [this](const streams::stream_opened &opened) {
                m_publisher->inbox().push(dissemination::subscriber_opened {opened.connection});
            },
            [this](const streams::stream_closed &closed) {
                m_publisher->inbox().push(dissemination::subscriber_closed {closed.connection});
            },
            [this](const streams::stream_frame &frame) { takeFrame(frame); },
        },
        event);
}

void control_process::takeFrame(const streams::stream_frame &frame)
{
    if (frame.channel == streams::channel::membership) {
        takeMemberFrame(frame);
    } else if (frame.channel == streams::channel::dissemination) {
        const base::result<dissemination::node_message> message
            = dissemination::decodeNodeMessage(frame.bytes);
        if (base::isOk(message))
            m_publisher->inbox().push(
                dissemination::node_said {frame.connection, base::valueOf(message)});
    }
}

metrics::report control_process::metrics() const
{
    std::vector<metrics::sample> samples;
    metrics::addRing(samples, "tickets", m_tickets->inbox());
    metrics::addRing(samples, "membership", m_membership->inbox());
    metrics::addRing(samples, "dissemination", m_publisher->inbox());
    metrics::addRing(samples, "operators", m_operators->inbox());
    metrics::addRing(samples, "streams", m_streams->outgoing());
    return metrics::report {"control", std::move(samples)};
}

void control_process::takeMemberFrame(const streams::stream_frame &frame)
{
    const base::result<membership::member_frame> decoded = membership::decodeFrame(frame.bytes);
    if (!base::isOk(decoded))
        return;
    std::visit([this](const auto &message) { m_membership->inbox().push(message); },
               base::valueOf(decoded));
}

} // namespace lycheeshunt::daemon
