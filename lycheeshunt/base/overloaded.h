// Combines several lambdas into one visitor for std::visit.
//
//     std::visit(overloaded {[](const offer &o) { ... }, [](const refusal &r) { ... }}, message);

#pragma once

namespace lycheeshunt::base {

template <typename... callables>
struct overloaded : callables...
{
    using callables::operator()...;
};

template <typename... callables>
overloaded(callables...) -> overloaded<callables...>;

} // namespace lycheeshunt::base
