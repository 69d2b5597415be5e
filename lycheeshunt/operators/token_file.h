// The secret that operators must present to change anything, kept in a file that nobody else may
// read.
//
//     const base::result<std::string> token = readToken("/etc/lycheeshunt/token");

#pragma once

#include "lycheeshunt/base/result.h"

#include <string>

namespace lycheeshunt::operators {

// tokenFileUnsafe unless the file holds one line and its mode gives group and others nothing.
base::result<std::string> readToken(const std::string &path);

} // namespace lycheeshunt::operators
