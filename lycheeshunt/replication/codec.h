// MessagePack form of log entries.

#pragma once

#include "lycheeshunt/base/result.h"

#include <string>
#include <string_view>

namespace lycheeshunt::replication {

struct log_entry;

std::string encodeEntry(const log_entry &entry);
base::result<log_entry> decodeEntry(std::string_view bytes);

} // namespace lycheeshunt::replication
