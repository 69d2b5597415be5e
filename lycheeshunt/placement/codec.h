// MessagePack encoding of the load reports that agents exchange. Decoding accepts arbitrary bytes.

#pragma once

#include "lycheeshunt/base/result.h"
#include <string>
#include <string_view>

namespace lycheeshunt::placement {

struct load_report;

std::string encodeReport(const load_report &report);
base::result<load_report> decodeReport(std::string_view bytes);

} // namespace lycheeshunt::placement
