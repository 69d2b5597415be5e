#include "lycheeshunt/replication/codec.h"

#include "lycheeshunt/base/codec.h"
#include "lycheeshunt/replication/configuration.h"
#include "lycheeshunt/replication/log_entry.h"

#include <tuple>

namespace lycheeshunt::replication {

namespace {

using entry_fields
    = std::tuple<std::uint64_t, std::uint64_t, std::uint8_t, std::int64_t, std::string>;
using member_fields = std::tuple<std::string, std::uint64_t, bool, std::uint32_t, std::uint16_t>;
using configuration_fields = std::tuple<std::vector<member_fields>>;

constexpr std::size_t lengthBytes = 4;
constexpr std::size_t bitsPerByte = 8;

void appendLength(std::string &bytes, std::size_t length)
{
    for (std::size_t i = 0; i < lengthBytes; ++i)
        bytes.push_back(static_cast<char>((length >> (bitsPerByte * i)) & 0xff));
}

std::size_t readLength(std::string_view bytes)
{
    std::size_t length = 0;
    for (std::size_t i = 0; i < lengthBytes; ++i)
        length |= std::size_t(static_cast<unsigned char>(bytes[i])) << (bitsPerByte * i);
    return length;
}

} // namespace

std::string encodeEntry(const log_entry &entry)
{
    return base::packFields(entry_fields(entry.index.value(), entry.term,
                                         static_cast<std::uint8_t>(entry.kind),
                                         entry.acceptedAt.millis(), entry.payload));
}

base::result<log_entry> decodeEntry(std::string_view bytes)
{
    const base::result<entry_fields> fields = base::unpackFields<entry_fields>(bytes);
    if (const base::error *failure = base::errorOf(fields))
        return *failure;
    const auto &[index, term, kind, acceptedAt, payload] = base::valueOf(fields);
    if (kind > static_cast<std::uint8_t>(entry_kind::evacuation))
        return base::error {base::error_code::messageMalformed, "unknown kind of log entry"};
    return log_entry {base::generation(index), term, static_cast<entry_kind>(kind),
                      base::clock_time::ofMillis(acceptedAt), payload};
}

std::string encodeEntries(const std::vector<log_entry> &entries)
{
    std::string bytes;
    for (const log_entry &entry : entries) {
        const std::string body = encodeEntry(entry);
        appendLength(bytes, body.size());
        bytes += body;
    }
    return bytes;
}

base::result<std::vector<log_entry>> decodeEntries(std::string_view bytes)
{
    std::vector<log_entry> entries;
    while (!bytes.empty()) {
        if (bytes.size() < lengthBytes || bytes.size() - lengthBytes < readLength(bytes))
            return base::error {base::error_code::messageMalformed, "log entry is cut short"};
        const std::size_t length = readLength(bytes);
        const base::result<log_entry> entry = decodeEntry(bytes.substr(lengthBytes, length));
        if (const base::error *failure = base::errorOf(entry))
            return *failure;
        entries.push_back(base::valueOf(entry));
        bytes.remove_prefix(lengthBytes + length);
    }
    return entries;
}

std::string encodeConfiguration(const configuration &members)
{
    std::vector<member_fields> fields;
    for (const configuration_member &member : members.members)
        fields.emplace_back(member.name, member.storage.value(), member.isVoter,
                            member.streams.address, member.streams.port);
    return base::packFields(configuration_fields(fields));
}

base::result<configuration> decodeConfiguration(std::string_view bytes)
{
    const base::result<configuration_fields> fields
        = base::unpackFields<configuration_fields>(bytes);
    if (const base::error *failure = base::errorOf(fields))
        return *failure;
    std::vector<configuration_member> members;
    for (const auto &[name, storage, isVoter, address, port] : std::get<0>(base::valueOf(fields)))
        members.push_back(configuration_member {name, storage_id(storage), isVoter,
                                                base::endpoint {address, port}});
    return configuration {std::move(members)};
}

} // namespace lycheeshunt::replication
