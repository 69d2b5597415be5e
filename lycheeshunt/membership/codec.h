// MessagePack form of members, for announcements, the log and other nodes.

#pragma once

#include "lycheeshunt/base/result.h"

#include <string>
#include <string_view>
#include <vector>

namespace lycheeshunt::membership {

struct member;
struct membership_batch;

std::string encodeMember(const member &member);
base::result<membership::member> decodeMember(std::string_view bytes);

std::string encodeBatch(const membership_batch &batch);
base::result<membership_batch> decodeBatch(std::string_view bytes);

} // namespace lycheeshunt::membership
