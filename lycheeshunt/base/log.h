// Log lines by Boost.Log. Each part has a fixed prefix:
//
//     logInfo("tickets", "ticket 12 accepted");
//
// Thread-safe. Never pass a token or a payload.

#pragma once

#include <string_view>

namespace lycheeshunt::base {

void startLog(std::string_view processName);
void logInfo(std::string_view part, std::string_view sentence);
void logWarning(std::string_view part, std::string_view sentence);
void logError(std::string_view part, std::string_view sentence);

} // namespace lycheeshunt::base
