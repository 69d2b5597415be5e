// MessagePack encoding of log entries and configurations.

#pragma once

#include "lycheeshunt/base/result.h"

#include <string>
#include <string_view>
#include <vector>

namespace lycheeshunt::replication {

struct configuration;
struct log_entry;

std::string encodeEntry(const log_entry &entry);
base::result<log_entry> decodeEntry(std::string_view bytes);

// Concatenated entries, each prefixed with its length as a 4-byte little-endian integer.
std::string encodeEntries(const std::vector<log_entry> &entries);
base::result<std::vector<log_entry>> decodeEntries(std::string_view bytes);

std::string encodeConfiguration(const configuration &members);
base::result<configuration> decodeConfiguration(std::string_view bytes);

} // namespace lycheeshunt::replication
