// A value, or the error that prevented its computation.
//
//     const result<ticket> parsed = parseTicket(body);
//     if (const error *failure = errorOf(parsed))
//         return *failure;
//     use(valueOf(parsed));

#pragma once

#include "lycheeshunt/base/error.h"

#include <utility>
#include <variant>

namespace lycheeshunt::base {

template <typename T>
using result = std::variant<T, error>;

// Returns the error, or null when the result holds a value.
template <typename T>
const error *errorOf(const result<T> &outcome)
{
    return std::get_if<error>(&outcome);
}

template <typename T>
bool isOk(const result<T> &outcome)
{
    return std::holds_alternative<T>(outcome);
}

// Precondition: isOk(outcome).
template <typename T>
const T &valueOf(const result<T> &outcome)
{
    return std::get<T>(outcome);
}

template <typename T>
T takeValue(result<T> &&outcome)
{
    return std::get<T>(std::move(outcome));
}

} // namespace lycheeshunt::base
