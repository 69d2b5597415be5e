// Writes structured log lines, one for each decision, to standard output with Boost.Log:
//
//     time=... process=entry-1 level=info part=flows event=opened flow=... owner=...
//
//     logEvent("flows", "opened", {{"flow", key.text()}, {"entry", entry.text()}});
//     logInfo("daemon", "started");           // a sentence instead of fields
//
// Thread-safe and non-blocking: a dedicated thread writes the queued lines. Each kind of line (part
// and event) is limited to a number of lines per second; the next line of that kind reports how
// many were omitted. Never pass a token or a payload.

#pragma once

#include "lycheeshunt/base/log_field.h"

#include <cstdint>
#include <initializer_list>
#include <string_view>

namespace lycheeshunt::base {

// Lines logged before this call are discarded.
void startLog(std::string_view processName);
// Writes the queued lines. No line is written after this call.
void stopLog();

void logEvent(std::string_view part, std::string_view event,
              std::initializer_list<log_field> fields);
void logInfo(std::string_view part, std::string_view sentence);
void logWarning(std::string_view part, std::string_view sentence);
void logError(std::string_view part, std::string_view sentence);

// Number of lines dropped since startLog() because the queue was full.
std::uint64_t logLinesDropped();

} // namespace lycheeshunt::base
