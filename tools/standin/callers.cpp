// Stand-in for callers and the fabric: opens feeds and short flows to each service, sends every
// packet through an entry chosen at random, and counts what became of the flows. The last line of
// its output is one JSON object.

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

constexpr clock_time resendAfter = clock_time::ofMillis(200);
constexpr clock_time giveUpAfter = clock_time::ofSeconds(6);
constexpr clock_time feedPause = clock_time::ofMillis(100);
constexpr clock_time entryDownSpan = clock_time::ofMillis(500);
constexpr int shortFlowRequests = 3;

volatile std::sig_atomic_t stopRequested = 0;

enum class phase { opening, waiting, idle, closing, ended };

struct caller_flow
{
    base::flow_key key;
    std::string service;
    bool isFeed;
    phase at;
    std::uint32_t next;
    std::uint32_t acknowledged;
    int requests;
    std::string expectedBody;
    std::string lastPacket;
    clock_time startedAt;
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

// Spreads packets over the entries; one that refuses is left out for a while.
class fabric
{
public:
    fabric(const std::vector<base::endpoint> &entries, std::uint64_t seed) : m_random(seed)
    {
        for (const base::endpoint &entry : entries) {
            base::result<base::file_descriptor> socket
                = base::openDatagramSocket(base::endpoint {INADDR_LOOPBACK, 0});
            const sockaddr_in raw = base::toSocketAddress(entry);
            m_links.push_back({base::takeValue(std::move(socket)), clock_time()});
            if (::connect(m_links.back().socket.get(), reinterpret_cast<const sockaddr *>(&raw),
                          sizeof raw)
                != 0)
                throw std::runtime_error("can't connect to " + entry.text());
        }
    }

    void send(const std::string &packet, clock_time now)
    {
        const std::size_t start = m_random() % m_links.size();
        for (std::size_t i = 0; i < m_links.size(); ++i) {
            link &chosen = m_links[(start + i) % m_links.size()];
            if (now < chosen.downUntil)
                continue;
            if (::send(chosen.socket.get(), packet.data(), packet.size(), MSG_NOSIGNAL) >= 0)
                return;
            chosen.downUntil = now + entryDownSpan;
        }
    }

private:
    struct link
    {
        base::file_descriptor socket;
        clock_time downUntil;
    };

    std::vector<link> m_links;
    std::mt19937_64 m_random;
};

class callers
{
public:
    callers(const std::vector<base::endpoint> &entries, std::uint64_t seed)
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
        caller_flow flow {key, service, isFeed, phase::opening, 100, 0, 0, {}, {}, now, now};
        flow.lastPacket = packet(flow, Tins::TCP::SYN, {});
        flow.next += 1;
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
        if (found == m_flows.end() || found->second.at == phase::ended)
            return;
        const Tins::IP ip(reinterpret_cast<const std::uint8_t *>(bytes.data()),
                          static_cast<std::uint32_t>(bytes.size()));
        advance(found->second, ip, now);
    }

    void tick(clock_time now)
    {
        for (auto it = m_flows.begin(); it != m_flows.end();) {
            caller_flow &flow = it->second;
            if (flow.at == phase::ended) {
                it = m_flows.erase(it);
                continue;
            }
            if (flow.at == phase::idle && now - flow.sentAt >= feedPause)
                request(flow, now);
            else if (flow.at != phase::idle && now - flow.startedAt >= giveUpAfter)
                end(flow, m_counters.broken);
            else if (flow.at != phase::idle && now - flow.sentAt >= resendAfter)
                send(flow, now);
            ++it;
        }
    }

    std::size_t openFlows() const { return m_flows.size(); }
    const counters &counted() const { return m_counters; }

private:
    static std::string packet(const caller_flow &flow, int flags, const std::string &payload)
    {
        Tins::TCP tcp(flow.key.service.port, flow.key.caller.port);
        tcp.seq(flow.next);
        tcp.ack_seq(flow.acknowledged);
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

    void begin(caller_flow &flow, phase next, std::string packetBytes, std::uint32_t consumed,
               clock_time now)
    {
        flow.at = next;
        flow.lastPacket = std::move(packetBytes);
        flow.next += consumed;
        flow.startedAt = now;
        send(flow, now);
    }

    void request(caller_flow &flow, clock_time now)
    {
        ++flow.requests;
        flow.expectedBody = std::to_string(flow.key.caller.address) + ":"
            + std::to_string(flow.key.caller.port) + "#" + std::to_string(flow.requests);
        begin(flow, phase::waiting,
              packet(flow, Tins::TCP::PSH | Tins::TCP::ACK, flow.expectedBody),
              static_cast<std::uint32_t>(flow.expectedBody.size()), now);
    }

    void advance(caller_flow &flow, const Tins::IP &ip, clock_time now)
    {
        const Tins::TCP &segment = ip.rfind_pdu<Tins::TCP>();
        if (segment.get_flag(Tins::TCP::RST)) {
            end(flow, flow.at == phase::opening ? m_counters.refused : m_counters.broken);
            return;
        }
        if (segment.ack_seq() != flow.next)
            return;
        if (flow.at == phase::opening && segment.get_flag(Tins::TCP::SYN)) {
            flow.acknowledged = segment.seq() + 1;
            request(flow, now);
        } else if (flow.at == phase::waiting) {
            takeAnswer(flow, ip, segment, now);
        } else if (flow.at == phase::closing) {
            end(flow, m_counters.completed);
        }
    }

    void takeAnswer(caller_flow &flow, const Tins::IP &ip, const Tins::TCP &segment, clock_time now)
    {
        const Tins::RawPDU *body = ip.find_pdu<Tins::RawPDU>();
        if (body == nullptr)
            return;
        const std::string text(body->payload().begin(), body->payload().end());
        flow.acknowledged = segment.seq() + static_cast<std::uint32_t>(text.size());
        ++m_counters.answers;
        if (text.substr(0, text.find('|')) != flow.service)
            ++m_counters.wrongService;
        if (text.substr(text.rfind('|') + 1) != flow.expectedBody)
            ++m_counters.wrongAnswer;
        if (flow.isFeed) {
            flow.at = phase::idle;
            flow.sentAt = now;
        } else if (flow.requests < shortFlowRequests) {
            request(flow, now);
        } else {
            begin(flow, phase::closing, packet(flow, Tins::TCP::FIN | Tins::TCP::ACK, {}), 1, now);
        }
    }

    static void end(caller_flow &flow, std::uint64_t &counter)
    {
        flow.at = phase::ended;
        ++counter;
    }

    fabric m_fabric;
    std::map<base::flow_key, caller_flow> m_flows;
    counters m_counters;
};

struct called_service
{
    std::string name;
    base::endpoint address;
};

struct load
{
    std::vector<called_service> services;
    int feeds = 20;
    int shortPerSecond = 50;
    int seconds = 10;
};

void run(callers &all, int descriptor, const load &load)
{
    const clock_time start = clock_time::steady();
    const clock_time end = start + clock_time::ofSeconds(load.seconds);
    for (const called_service &service : load.services) {
        for (int i = 0; i < load.feeds; ++i)
            all.open(service.name, service.address, true, start);
    }
    constexpr int pollMillis = 10;
    std::int64_t opened = 0;
    for (clock_time now = start; now < end && stopRequested == 0; now = clock_time::steady()) {
        const std::int64_t due = (now - start).millis() * load.shortPerSecond / 1000;
        for (; opened < due; ++opened) {
            const called_service &service = load.services[opened % load.services.size()];
            all.open(service.name, service.address, false, now);
        }
        pollfd watched {descriptor, POLLIN, 0};
        ::poll(&watched, 1, pollMillis);
        while (const std::optional<std::string> bytes = packets::receiveDatagram(descriptor))
            all.receive(*bytes, clock_time::steady());
        all.tick(clock_time::steady());
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
    load wanted;
    app.add_option("--entry", entryTexts, "an entry's packet address; repeat it")->required();
    app.add_option("--service", serviceTexts, "name=a.b.c.d:port; repeat it")->required();
    app.add_option("--local", local, "takes packets to callers here")->required();
    app.add_option("--seed", seed);
    app.add_option("--feeds", wanted.feeds, "feeds a service");
    app.add_option("--short", wanted.shortPerSecond, "short flows a second");
    app.add_option("--seconds", wanted.seconds);
    CLI11_PARSE(app, argc, argv);

    std::vector<base::endpoint> entries;
    entries.reserve(entryTexts.size());
    for (const std::string &text : entryTexts)
        entries.push_back(std::get<base::endpoint>(base::parseEndpoint(text)));
    for (const std::string &text : serviceTexts) {
        const std::size_t split = text.find('=');
        wanted.services.push_back(
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
    callers all(entries, seed);
    run(all, base::valueOf(socket).get(), wanted);
    const counters &total = all.counted();
    std::cout << "{\"flows\":" << total.flows << ",\"completed\":" << total.completed
              << ",\"broken\":" << total.broken << ",\"refused\":" << total.refused
              << ",\"wrong_service\":" << total.wrongService
              << ",\"wrong_answer\":" << total.wrongAnswer << ",\"answers\":" << total.answers
              << ",\"open\":" << all.openFlows() << "}" << std::endl;
    return total.broken == 0 && total.wrongService == 0 && total.wrongAnswer == 0 ? 0 : 1;
}
