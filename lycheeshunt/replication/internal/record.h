// Records in files: a header with a checksum of its own, then the body. Because the header proves
// itself, a length that was changed on the disk can't pass for a record cut short.
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

// What a run of records holds. Whatever follows validBytes is a torn tail: a write that was never
// synced, hence never acknowledged.
struct record_scan
{
    const std::vector<std::string_view> bodies = {};
    const std::size_t validBytes = 0;
};

// logCorrupt when a record is damaged rather than torn: its bytes are all there but fail their
// checksum, or a good record comes after it. `name` is for the error.
base::result<record_scan> scanRecords(std::string_view bytes, const std::string &name);

// The one record of a file that is replaced whole; anything else is logCorrupt.
base::result<std::string> soleRecord(std::string_view bytes, const std::string &name);

} // namespace lycheeshunt::replication::internal
