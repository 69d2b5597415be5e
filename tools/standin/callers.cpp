// Simulates callers and the fabric: opens feeds (flows that stay open) and short flows to each
// service, sends every packet through an entry chosen at random, and counts the outcomes of the
// flows. The last line of its output is a JSON object with the counts.

#include "lycheeshunt/base/clock_time.h"
#include "lycheeshunt/base/socket.h"
#include "lycheeshunt/packets/datagram_io.h"
#include "lycheeshunt/packets/ip_packet.h"

#include <CLI/CLI.hpp>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <tins/ip.h>
#include <tins/rawpdu.h>
#include <tins/tcp.h>

#include <csignal>
#include <iostream>
#include <map>
#include <random>

namespace {

using namespace lycheeshunt;
using base::clock_time;

constexpr clock_time retransmitTimeout = clock_time::ofMillis(200);
constexpr clock_time exchangeTimeout = clock_time::ofSeconds(6);
constexpr clock_time feedRequestInterval = clock_time::ofMillis(100);
constexpr clock_time entryRetryDelay = clock_time::ofMillis(500);
constexpr int shortFlowRequests = 3;

volatile std::sig_atomic_t stopRequested = 0;

enum class flow_phase { opening, waiting, idle, closing, ended };

struct caller_flow
{
    base::flow_key key;
    std::string service;
    bool isFeed;
    flow_phase phase;
    std::uint32_t nextSequence;
    std::uint32_t acknowledgedSequence;
    int requests;
    std::string expectedBody;
    std::string lastPacket;
    clock_time exchangeStartedAt;
    clock_time sentAt;
};

struct counters
{
    std::uint64_t flows = 0;
    std::uint64_t completed = 0;
    std::uint64_t broken = 0;
    std::uint64_t refused = 0;
    std::uint64_t wrongService = 0;
    std::uint64_t wrongAnswer = 0;
    std::uint64_t answers = 0;
};

// Sends each packet to a random entry. An entry whose socket reports a send error is skipped for
// entryRetryDelay.
class fabric
{
public:
    fabric(const std::vector<base::endpoint> &entries, std::uint64_t seed) : m_random(seed)
    {
        for (const base::endpoint &entry : entries) {
            base::result<base::file_descriptor> socket
                = base::openDatagramSocket(base::endpoint {INADDR_LOOPBACK, 0});
            const sockaddr_in raw = base::toSocketAddress(entry);
            m_entries.push_back({base::takeValue(std::move(socket)), clock_time()});
            if (::connect(m_entries.back().socket.get(), reinterpret_cast<const sockaddr *>(&raw),
                          sizeof raw)
                != 0)
                throw std::runtime_error("can't connect to " + entry.text());
        }
    }

    void send(const std::string &packet, clock_time now)
    {
        const std::size_t start = m_random() % m_entries.size();
        for (std::size_t i = 0; i < m_entries.size(); ++i) {
            entry_link &candidate = m_entries[(start + i) % m_entries.size()];
            if (now < candidate.downUntil)
                continue;
            if (::send(candidate.socket.get(), packet.data(), packet.size(), MSG_NOSIGNAL) >= 0)
                return;
            candidate.downUntil = now + entryRetryDelay;
        }
    }

private:
    struct entry_link
    {
        base::file_descriptor socket;
        clock_time downUntil;
    };

    std::vector<entry_link> m_entries;
    std::mt19937_64 m_random;
};

class caller_simulator
{
public:
    caller_simulator(const std::vector<base::endpoint> &entries, std::uint64_t seed)
        : m_fabric(entries, seed)
    {
    }

    void open(const std::string &service, const base::endpoint &address, bool isFeed,
              clock_time now)
    {
        constexpr std::uint32_t callerNetwork = 0x0a000000;
        constexpr std::uint16_t firstPort = 1024;
        const std::uint64_t index = m_counters.flows++;
        const base::endpoint from {callerNetwork + 1 + static_cast<std::uint32_t>(index / 60000),
                                   static_cast<std::uint16_t>(firstPort + index % 60000)};
        const base::flow_key key {from, address, IPPROTO_TCP};
        caller_flow flow {key, service, isFeed, flow_phase::opening, 100, 0, 0, {}, {}, now, now};
        flow.lastPacket = buildPacket(flow, Tins::TCP::SYN, {});
        flow.nextSequence += 1;
        m_fabric.send(flow.lastPacket, now);
        m_flows.emplace(key, std::move(flow));
    }

    void receive(const std::string &bytes, clock_time now)
    {
        const base::result<packets::ip_summary> summary
            = packets::summarize(bytes, packets::direction::toCaller);
        if (!base::isOk(summary))
            return;
        const auto found = m_flows.find(base::valueOf(summary).key);
        if (found == m_flows.end() || found->second.phase == flow_phase::ended)
            return;
        const Tins::IP ip(reinterpret_cast<const std::uint8_t *>(bytes.data()),
                          static_cast<std::uint32_t>(bytes.size()));
        handleSegment(found->second, ip, now);
    }

    void tick(clock_time now)
    {
        for (auto it = m_flows.begin(); it != m_flows.end();) {
            caller_flow &flow = it->second;
            if (flow.phase == flow_phase::ended) {
                it = m_flows.erase(it);
                continue;
            }
            if (flow.phase == flow_phase::idle && now - flow.sentAt >= feedRequestInterval)
                request(flow, now);
            else if (flow.phase != flow_phase::idle
                     && now - flow.exchangeStartedAt >= exchangeTimeout)
                finish(flow, m_counters.broken);
            else if (flow.phase != flow_phase::idle && now - flow.sentAt >= retransmitTimeout)
                send(flow, now);
            ++it;
        }
    }

    std::size_t openFlows() const { return m_flows.size(); }
    const counters &counts() const { return m_counters; }

private:
    static std::string buildPacket(const caller_flow &flow, int flags, const std::string &payload)
    {
        Tins::TCP tcp(flow.key.service.port, flow.key.caller.port);
        tcp.seq(flow.nextSequence);
        tcp.ack_seq(flow.acknowledgedSequence);
        tcp.flags(static_cast<Tins::small_uint<12>>(flags));
        Tins::IP ip = Tins::IP(Tins::IPv4Address(htonl(flow.key.service.address)),
                               Tins::IPv4Address(htonl(flow.key.caller.address)))
            / tcp;
        if (!payload.empty())
            ip /= Tins::RawPDU(payload);
        const Tins::PDU::serialization_type raw = ip.serialize();
        return std::string(raw.begin(), raw.end());
    }

    void send(caller_flow &flow, clock_time now)
    {
        flow.sentAt = now;
        m_fabric.send(flow.lastPacket, now);
    }

    void startExchange(caller_flow &flow, flow_phase newPhase, std::string packet,
                       std::uint32_t consumed, clock_time now)
    {
        flow.phase = newPhase;
        flow.lastPacket = std::move(packet);
        flow.nextSequence += consumed;
        flow.exchangeStartedAt = now;
        send(flow, now);
    }

    void request(caller_flow &flow, clock_time now)
    {
        ++flow.requests;
        flow.expectedBody = std::to_string(flow.key.caller.address) + ":"
            + std::to_string(flow.key.caller.port) + "#" + std::to_string(flow.requests);
        startExchange(flow, flow_phase::waiting,
                      buildPacket(flow, Tins::TCP::PSH | Tins::TCP::ACK, flow.expectedBody),
                      static_cast<std::uint32_t>(flow.expectedBody.size()), now);
    }

    void handleSegment(caller_flow &flow, const Tins::IP &ip, clock_time now)
    {
        const Tins::TCP &segment = ip.rfind_pdu<Tins::TCP>();
        if (segment.get_flag(Tins::TCP::RST)) {
            finish(flow,
                   flow.phase == flow_phase::opening ? m_counters.refused : m_counters.broken);
            return;
        }
        if (segment.ack_seq() != flow.nextSequence)
            return;
        if (flow.phase == flow_phase::opening && segment.get_flag(Tins::TCP::SYN)) {
            flow.acknowledgedSequence = segment.seq() + 1;
            request(flow, now);
        } else if (flow.phase == flow_phase::waiting) {
            handleAnswer(flow, ip, segment, now);
        } else if (flow.phase == flow_phase::closing) {
            finish(flow, m_counters.completed);
        }
    }

    void handleAnswer(caller_flow &flow, const Tins::IP &ip, const Tins::TCP &segment,
                      clock_time now)
    {
        const Tins::RawPDU *body = ip.find_pdu<Tins::RawPDU>();
        if (body == nullptr)
            return;
        const std::string text(body->payload().begin(), body->payload().end());
        flow.acknowledgedSequence = segment.seq() + static_cast<std::uint32_t>(text.size());
        ++m_counters.answers;
        if (text.substr(0, text.find('|')) != flow.service)
            ++m_counters.wrongService;
        if (text.substr(text.rfind('|') + 1) != flow.expectedBody)
            ++m_counters.wrongAnswer;
        if (flow.isFeed) {
            flow.phase = flow_phase::idle;
            flow.sentAt = now;
        } else if (flow.requests < shortFlowRequests) {
            request(flow, now);
        } else {
            startExchange(flow, flow_phase::closing,
                          buildPacket(flow, Tins::TCP::FIN | Tins::TCP::ACK, {}), 1, now);
        }
    }

    static void finish(caller_flow &flow, std::uint64_t &counter)
    {
        flow.phase = flow_phase::ended;
        ++counter;
    }

    fabric m_fabric;
    std::map<base::flow_key, caller_flow> m_flows;
    counters m_counters;
};

struct target_service
{
    std::string name;
    base::endpoint address;
};

struct load_options
{
    std::vector<target_service> services;
    int feeds = 20;
    int shortPerSecond = 50;
    int seconds = 10;
};

void run(caller_simulator &simulator, int descriptor, const load_options &options)
{
    const clock_time start = clock_time::steady();
    const clock_time deadline = start + clock_time::ofSeconds(options.seconds);
    for (const target_service &service : options.services) {
        for (int i = 0; i < options.feeds; ++i)
            simulator.open(service.name, service.address, true, start);
    }
    constexpr int pollMillis = 10;
    std::int64_t opened = 0;
    for (clock_time now = start; now < deadline && stopRequested == 0; now = clock_time::steady()) {
        const std::int64_t dueFlows = (now - start).millis() * options.shortPerSecond / 1000;
        for (; opened < dueFlows; ++opened) {
            const target_service &service = options.services[opened % options.services.size()];
            simulator.open(service.name, service.address, false, now);
        }
        pollfd watched {descriptor, POLLIN, 0};
        ::poll(&watched, 1, pollMillis);
        while (const std::optional<std::string> bytes = packets::receiveDatagram(descriptor))
            simulator.receive(*bytes, clock_time::steady());
        simulator.tick(clock_time::steady());
    }
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("stand-in for callers and the fabric");
    std::vector<std::string> entryTexts;
    std::vector<std::string> serviceTexts;
    std::string local;
    std::uint64_t seed = 1;
    load_options options;
    app.add_option("--entry", entryTexts, "an entry's packet address; repeat it")->required();
    app.add_option("--service", serviceTexts, "name=a.b.c.d:port; repeat it")->required();
    app.add_option("--local", local, "takes packets to callers here")->required();
    app.add_option("--seed", seed);
    app.add_option("--feeds", options.feeds, "feeds a service");
    app.add_option("--short", options.shortPerSecond, "short flows a second");
    app.add_option("--seconds", options.seconds);
    CLI11_PARSE(app, argc, argv);

    std::vector<base::endpoint> entries;
    entries.reserve(entryTexts.size());
    for (const std::string &text : entryTexts)
        entries.push_back(std::get<base::endpoint>(base::parseEndpoint(text)));
    for (const std::string &text : serviceTexts) {
        const std::size_t split = text.find('=');
        options.services.push_back(
            {text.substr(0, split),
             std::get<base::endpoint>(base::parseEndpoint(text.substr(split + 1)))});
    }
    const base::result<base::file_descriptor> socket
        = base::openDatagramSocket(std::get<base::endpoint>(base::parseEndpoint(local)));
    if (const base::error *failure = base::errorOf(socket)) {
        std::cerr << failure->text() << "\n";
        return 3;
    }
    std::signal(SIGTERM, [](int) { stopRequested = 1; });
    caller_simulator simulator(entries, seed);
    run(simulator, base::valueOf(socket).get(), options);
    const counters &total = simulator.counts();
    std::cout << "{\"flows\":" << total.flows << ",\"completed\":" << total.completed
              << ",\"broken\":" << total.broken << ",\"refused\":" << total.refused
              << ",\"wrong_service\":" << total.wrongService
              << ",\"wrong_answer\":" << total.wrongAnswer << ",\"answers\":" << total.answers
              << ",\"open\":" << simulator.openFlows() << "}" << std::endl;
    return total.broken == 0 && total.wrongService == 0 && total.wrongAnswer == 0 ? 0 : 1;
}
