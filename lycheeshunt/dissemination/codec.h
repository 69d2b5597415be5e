// MessagePack form of the view and of what passes between control and the nodes about it.

#pragma once

#include "lycheeshunt/base/identifiers.h"
#include "lycheeshunt/base/result.h"

#include <string>
#include <string_view>

namespace lycheeshunt::dissemination {

struct cluster_view;

std::string encodeView(const cluster_view &view);
base::result<cluster_view> decodeView(std::string_view bytes);

std::string encodeAcknowledgement(base::generation at);
base::result<base::generation> decodeAcknowledgement(std::string_view bytes);

} // namespace lycheeshunt::dissemination
