#include "lycheeshunt/settings/settings_file.h"

#include "lycheeshunt/settings/internal/ascii_text.h"
#include "lycheeshunt/settings/internal/table_reader.h"

#include <fstream>
#include <functional>
#include <set>
#include <sstream>

namespace lycheeshunt::settings {

namespace {

using internal::table_reader;

pacing::link_rate readLinkRate(table_reader &reader)
{
    constexpr double bytesPerMegabit = 125'000;
    constexpr double maxMegabits = 1'000'000;
    const double megabits = reader.decimal("link_mbps", 0);
    // Also refuses what is no number.
    if (!(megabits >= 0 && megabits <= maxMegabits)) {
        reader.fail(base::error_code::settingsBadValue, "link_mbps", "must be from 0 to 1000000");
        return pacing::link_rate {};
    }
    return pacing::link_rate {static_cast<std::uint64_t>(megabits * bytesPerMegabit)};
}

routing::hedging_limit readHedging(table_reader &entry, bool hasHints)
{
    constexpr std::int64_t maxPercent = 100;
    if (!entry.has("hedging"))
        return routing::hedging_limit {};
    const toml::table *table = entry.subtable("hedging");
    if (table == nullptr)
        return routing::hedging_limit {};
    table_reader reader(*table, entry.path());
    const std::int64_t percent = reader.number("extra_percent", 0);
    const bool isInRange = percent >= 0 && percent <= maxPercent;
    if (!isInRange)
        reader.fail(base::error_code::settingsBadValue, "extra_percent",
                    std::to_string(percent) + " is not from 0 to 100");
    else if (percent > 0 && !hasHints)
        entry.fail(base::error_code::settingsMissingKey, "hints",
                   "needed where [entry.hedging] extra_percent is above 0");
    reader.refuseUnknownKeys();
    entry.mergeFault(reader);
    return routing::hedging_limit {isInRange ? static_cast<std::uint32_t>(percent) : 0};
}

role_settings readEntry(table_reader &reader)
{
    const base::endpoint packets = reader.endpoint("packets");
    const std::optional<base::endpoint> hints = reader.optionalEndpoint("hints");
    const std::optional<base::endpoint> fabric = reader.optionalEndpoint("fabric");
    if (hints && packets.port != 0 && *hints == packets)
        reader.fail(base::error_code::settingsClash, "hints", "same address as packets");
    const std::optional<base::endpoint> readiness = reader.optionalEndpoint("readiness");
    const pacing::link_rate link = readLinkRate(reader);
    return entry_settings {packets,   hints, fabric,
                           readiness, link,  readHedging(reader, hints.has_value())};
}

std::optional<std::uint32_t> readWarmupSlack(table_reader &reader)
{
    constexpr std::int64_t maxSlack = 1'000'000;
    if (!reader.has("warmup_slack"))
        return std::nullopt;
    const std::int64_t slack = reader.number("warmup_slack", 0);
    if (slack >= 0 && slack <= maxSlack)
        return static_cast<std::uint32_t>(slack);
    reader.fail(base::error_code::settingsBadValue, "warmup_slack", "must be from 0 to 1000000");
    return std::nullopt;
}

role_settings readAgent(table_reader &reader)
{
    const std::string service = reader.text("service");
    const flows::agent_sockets sockets {reader.endpoint("packets"), reader.endpoint("server_side"),
                                        reader.endpoint("server"), reader.endpoint("fabric")};
    if (sockets.packets.port != 0 && sockets.packets == sockets.serverSide)
        reader.fail(base::error_code::settingsClash, "server_side", "same address as packets");
    const std::optional<base::endpoint> announcements = reader.optionalEndpoint("announcements");
    const std::optional<base::endpoint> readiness = reader.optionalEndpoint("readiness");
    return agent_settings {service,
                           sockets,
                           announcements,
                           readiness,
                           readWarmupSlack(reader),
                           reader.flag("report_speed", false),
                           reader.flag("report_failures", false)};
}

std::vector<replication::control_peer> readPeers(table_reader &reader, const std::string &self,
                                                 const base::endpoint &streams)
{
    if (!reader.has("peers"))
        return {replication::control_peer {self, streams}};
    std::vector<replication::control_peer> peers;
    std::set<std::string> names;
    std::set<base::endpoint> addresses;
    for (const toml::table *table : reader.tables("peers")) {
        table_reader peer(*table, reader.path());
        peers.push_back({peer.text("name"), peer.endpoint("streams")});
        peer.refuseUnknownKeys();
        reader.mergeFault(peer);
        names.insert(peers.back().name);
        addresses.insert(peers.back().streams);
    }
    if (peers.size() != 1 && peers.size() != 3 && peers.size() != 5)
        reader.fail(base::error_code::settingsBadValue, "peers", "must be 1, 3 or 5 control VMs");
    if (names.size() != peers.size() || addresses.size() != peers.size())
        reader.fail(base::error_code::settingsClash, "peers", "a name or an address comes twice");
    if (names.count(self) == 0)
        reader.fail(base::error_code::settingsClash, "peers", "must list " + self + " itself");
    return peers;
}

role_settings readControl(table_reader &reader, const std::string &self)
{
    const base::endpoint streams = reader.endpoint("streams");
    const base::endpoint api = reader.endpoint("api");
    if (streams.port != 0 && streams == api)
        reader.fail(base::error_code::settingsClash, "api", "same address as streams");
    const std::string tokenFile = reader.optionalText("token_file");
    constexpr std::uint32_t loopbackNetwork = 127;
    constexpr int networkShift = 24;
    if (tokenFile.empty() && api.address >> networkShift != loopbackNetwork)
        reader.fail(base::error_code::settingsMissingKey, "token_file",
                    "needed where the API is not bound to loopback");
    constexpr std::int64_t maxToleratedLosses = 8;
    const std::int64_t losses = reader.number("tolerated_losses", 1);
    if (losses < 0 || losses > maxToleratedLosses)
        reader.fail(base::error_code::settingsBadValue, "tolerated_losses", "must be from 0 to 8");
    const std::string folder = reader.text("data_folder");
    const std::optional<base::endpoint> states = reader.optionalEndpoint("states");
    const bool isOpenGroup = reader.flag("open_group", false);
    const bool mayBootstrap = reader.flag("found", true);
    return control_settings {
        streams, api,         folder,       readPeers(reader, self, streams), tokenFile,
        states,  isOpenGroup, mayBootstrap, static_cast<std::size_t>(losses)};
}

// If `control_port` is set, it replaces the ports of the listed addresses.
std::vector<base::endpoint> readControlAddresses(table_reader &reader)
{
    constexpr std::int64_t maxPort = 65535;
    std::vector<base::endpoint> listed = reader.endpoints("control_addresses");
    const std::int64_t port = reader.number("control_port", 0);
    if (port < 0 || port > maxPort)
        reader.fail(base::error_code::settingsBadValue, "control_port", "must be a port");
    if (port == 0)
        return listed;
    std::vector<base::endpoint> addresses;
    addresses.reserve(listed.size());
    for (const base::endpoint &address : listed)
        addresses.push_back(base::endpoint {address.address, static_cast<std::uint16_t>(port)});
    return addresses;
}

std::optional<base::endpoint> readMetrics(table_reader &top, const toml::table &table,
                                          const std::string &path)
{
    if (!table.contains("metrics"))
        return std::nullopt;
    const toml::table *metrics = top.subtable("metrics");
    if (metrics == nullptr)
        return std::nullopt;
    table_reader reader(*metrics, path);
    const base::endpoint listen = reader.endpoint("listen");
    reader.refuseUnknownKeys();
    top.mergeFault(reader);
    return listen;
}

role_settings readRole(table_reader &top, const std::string &role, const std::string &self,
                       const std::string &path)
{
    const toml::table *table = top.subtable(role);
    if (table == nullptr)
        return entry_settings {};
    table_reader reader(*table, path);
    role_settings settings = role == "entry" ? readEntry(reader)
        : role == "agent"                    ? readAgent(reader)
                                             : readControl(reader, self);
    reader.refuseUnknownKeys();
    top.mergeFault(reader);
    return settings;
}

} // namespace

base::result<node_settings> parseSettings(std::string_view text, const std::string &path)
{
    const base::result<std::string> ascii = internal::asAscii(text, path);
    if (const base::error *failure = base::errorOf(ascii))
        return *failure;
    try {
        const toml::table table = toml::parse(base::valueOf(ascii), path);
        table_reader reader(table, path);
        const std::string role = reader.text("role");
        if (!reader.fault() && role != "entry" && role != "agent" && role != "control")
            reader.fail(base::error_code::settingsBadValue, "role",
                        "must be entry, agent or control");
        if (reader.fault())
            return *reader.fault();
        const std::string name = reader.text("name");
        const std::string zone = reader.text("availability_zone");
        const std::vector<base::endpoint> control = readControlAddresses(reader);
        const role_settings settings = readRole(reader, role, name, path);
        const std::optional<base::endpoint> metrics = readMetrics(reader, table, path);
        reader.refuseUnknownKeys();
        if (reader.fault())
            return *reader.fault();
        return node_settings {name, zone, control, settings, metrics};
    } catch (const toml::parse_error &failure) {
        return base::error {base::error_code::settingsSyntax,
                            path + ":" + std::to_string(failure.source().begin.line) + ": "
                                + std::string(failure.description())};
    }
}

base::result<node_settings> readSettings(const std::string &path)
{
    const std::ifstream file(path);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf()))
        return base::error {base::error_code::settingsUnreadable, path};
    return parseSettings(text.str(), path);
}

} // namespace lycheeshunt::settings
