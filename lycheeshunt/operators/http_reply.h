#pragma once

#include "lycheeshunt/http/http_answer.h"

namespace lycheeshunt::operators {

using http_reply = http::http_answer;

} // namespace lycheeshunt::operators
