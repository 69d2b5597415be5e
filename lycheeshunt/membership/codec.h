// MessagePack encoding of members, used in announcements, in the log and in views.

#pragma once

#include "lycheeshunt/base/result.h"
#include "lycheeshunt/membership/member_announced.h"
#include "lycheeshunt/membership/member_left.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lycheeshunt::membership {

struct membership_batch;

// A message of a member on the membership channel of its stream to control.
using member_frame = std::variant<member_announced, member_left>;

std::string encodeMember(const member &member);
base::result<membership::member> decodeMember(std::string_view bytes);

std::string encodeLeave(const member_left &left);

// Decodes the output of encodeMember or encodeLeave.
base::result<member_frame> decodeFrame(std::string_view bytes);

std::string encodeBatch(const membership_batch &batch);
base::result<membership_batch> decodeBatch(std::string_view bytes);

} // namespace lycheeshunt::membership
