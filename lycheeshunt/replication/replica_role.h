#pragma once

#include "lycheeshunt/replication/candidate_role.h"
#include "lycheeshunt/replication/failed_role.h"
#include "lycheeshunt/replication/follower_role.h"
#include "lycheeshunt/replication/leader_role.h"

#include <variant>

namespace lycheeshunt::replication {

using replica_role = std::variant<follower_role, candidate_role, leader_role, failed_role>;

} // namespace lycheeshunt::replication
