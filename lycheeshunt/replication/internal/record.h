// Record format of the files: a header with a checksum of its own, then the body. Because the
// header is verified separately, a corrupted length is not mistaken for a truncated record.
//
//     offset  0  magic, 4 bytes
//     offset  4  length of the body, 4 bytes, least significant first
//     offset  8  XXH3 of the body, 8 bytes
//     offset 16  XXH3 of the first 16 bytes, 8 bytes
//     offset 24  body

#pragma once

#include "lycheeshunt/base/result.h"

#include <string>
#include <string_view>
#include <vector>

namespace lycheeshunt::replication::internal {

inline constexpr std::size_t recordHeaderBytes = 24;

std::string frameRecord(std::string_view body);

// Records found in a file. Bytes after validBytes are a torn tail: a write that was not synced and
// therefore not acknowledged.
struct record_scan
{
    const std::vector<std::string_view> bodies = {};
    const std::size_t validBytes = 0;
};

// Fails with logCorrupt when a record is damaged rather than torn: it is complete but fails its
// checksum, or a valid record follows it. `name` is used in the error detail.
base::result<record_scan> scanRecords(std::string_view bytes, const std::string &name);

// Body of a file that consists of exactly one record; anything else fails with logCorrupt.
base::result<std::string> decodeSingleRecord(std::string_view bytes, const std::string &name);

} // namespace lycheeshunt::replication::internal
