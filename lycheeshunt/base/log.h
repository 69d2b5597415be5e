// Structured log lines by Boost.Log, one for each decision, on standard output:
//
//     time=... process=entry-1 level=info part=flows event=opened flow=... owner=...
//
//     logEvent("flows", "opened", {{"flow", key.text()}, {"entry", entry.text()}});
//     logInfo("daemon", "started");           // the same with a sentence in place of fields
//
// Thread-safe, and never waits: a thread of its own writes what is queued. Each kind of line (part
// and event) has a budget a second; the next line of the kind tells how many were left out. Never
// pass a token or a payload.

#pragma once

#include "lycheeshunt/base/log_field.h"

#include <cstdint>
#include <initializer_list>
#include <string_view>

namespace lycheeshunt::base {

// Before this nothing is written.
void startLog(std::string_view processName);
// Writes what is queued. Call it last.
void stopLog();

void logEvent(std::string_view part, std::string_view event,
              std::initializer_list<log_field> fields);
void logInfo(std::string_view part, std::string_view sentence);
void logWarning(std::string_view part, std::string_view sentence);
void logError(std::string_view part, std::string_view sentence);

// Lines that found the queue full, since the start.
std::uint64_t logLinesDropped();

} // namespace lycheeshunt::base
