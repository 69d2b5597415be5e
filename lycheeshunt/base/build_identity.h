// Identifies the sources that this program was built from, so that a program of another build is
// recognized.
//
//     logInfo("daemon", "started, sources " + std::string(sourceDigest()));

#pragma once

#include <string_view>

namespace lycheeshunt::base {

// Returns 12 hexadecimal digits; tools/source_digest prints those of a checkout.
std::string_view sourceDigest();

} // namespace lycheeshunt::base
