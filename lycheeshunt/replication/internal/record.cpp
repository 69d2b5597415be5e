#include "lycheeshunt/replication/internal/record.h"

#include "lycheeshunt/base/byte_order.h"

#include <xxhash.h>

#include <optional>

namespace lycheeshunt::replication::internal {

namespace {

constexpr std::uint32_t magic = 0x4c534852;
constexpr std::size_t lengthOffset = 4;
constexpr std::size_t checksumOffset = 8;
constexpr std::size_t headerChecksumOffset = 16;
constexpr std::size_t sectorBytes = 512;

struct record_header
{
    const std::uint32_t length = 0;
    const std::uint64_t checksum = 0;
};

// Empty when the bytes do not hold a complete header with a valid checksum.
std::optional<record_header> headerAt(std::string_view bytes, std::size_t offset)
{
    if (bytes.size() - offset < recordHeaderBytes)
        return std::nullopt;
    const char *start = bytes.data() + offset;
    const std::uint64_t checksum
        = base::littleEndianAt<std::uint64_t>(start + headerChecksumOffset);
    if (base::littleEndianAt<std::uint32_t>(start) != magic
        || XXH3_64bits(start, headerChecksumOffset) != checksum)
        return std::nullopt;
    return record_header {base::littleEndianAt<std::uint32_t>(start + lengthOffset),
                          base::littleEndianAt<std::uint64_t>(start + checksumOffset)};
}

bool hasValidBody(std::string_view bytes, std::size_t offset, const record_header &header)
{
    const std::string_view body = bytes.substr(offset + recordHeaderBytes, header.length);
    return body.size() == header.length && XXH3_64bits(body.data(), body.size()) == header.checksum;
}

bool hasValidRecordAfter(std::string_view bytes, std::size_t offset)
{
    for (std::size_t next = offset + 1; next + recordHeaderBytes <= bytes.size(); ++next) {
        const std::optional<record_header> header = headerAt(bytes, next);
        if (header && hasValidBody(bytes, next, *header))
            return true;
    }
    return false;
}

// A crash may come after the file system has extended the file but before it has written all
// sectors. The unwritten ones read as zeros up to the end of the file.
bool endsInUnwrittenSectors(std::string_view bytes, std::size_t offset)
{
    const std::size_t lastUsed = bytes.find_last_not_of('\0');
    const std::size_t firstZero = lastUsed == std::string_view::npos ? 0 : lastUsed + 1;
    const std::size_t boundary = (firstZero + sectorBytes - 1) / sectorBytes * sectorBytes;
    return firstZero <= offset || (boundary > offset && boundary < bytes.size());
}

bool isTorn(std::string_view bytes, std::size_t offset)
{
    if (hasValidRecordAfter(bytes, offset))
        return false;
    const std::size_t remaining = bytes.size() - offset;
    const std::optional<record_header> header = headerAt(bytes, offset);
    const bool isCutShort = remaining < recordHeaderBytes
        || (header && remaining - recordHeaderBytes < header->length);
    return isCutShort || endsInUnwrittenSectors(bytes, offset);
}

} // namespace

std::string frameRecord(std::string_view body)
{
    const std::uint32_t length = static_cast<std::uint32_t>(body.size());
    const std::uint64_t checksum = XXH3_64bits(body.data(), body.size());
    std::string record(recordHeaderBytes, '\0');
    base::putLittleEndian(record.data(), magic);
    base::putLittleEndian(record.data() + lengthOffset, length);
    base::putLittleEndian(record.data() + checksumOffset, checksum);
    const std::uint64_t headerChecksum = XXH3_64bits(record.data(), headerChecksumOffset);
    base::putLittleEndian(record.data() + headerChecksumOffset, headerChecksum);
    record += body;
    return record;
}

base::result<record_scan> scanRecords(std::string_view bytes, const std::string &name)
{
    std::vector<std::string_view> bodies;
    std::size_t offset = 0;
    while (offset < bytes.size()) {
        const std::optional<record_header> header = headerAt(bytes, offset);
        if (!header || !hasValidBody(bytes, offset, *header)) {
            if (isTorn(bytes, offset))
                break;
            return base::error {base::error_code::logCorrupt,
                                name + " at byte " + std::to_string(offset)};
        }
        bodies.push_back(bytes.substr(offset + recordHeaderBytes, header->length));
        offset += recordHeaderBytes + header->length;
    }
    return record_scan {std::move(bodies), offset};
}

base::result<std::string> decodeSingleRecord(std::string_view bytes, const std::string &name)
{
    const std::optional<record_header> header = headerAt(bytes, 0);
    if (!header || bytes.size() != recordHeaderBytes + header->length
        || !hasValidBody(bytes, 0, *header))
        return base::error {base::error_code::logCorrupt, name};
    return std::string(bytes.substr(recordHeaderBytes));
}

} // namespace lycheeshunt::replication::internal
