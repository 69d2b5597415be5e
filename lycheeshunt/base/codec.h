// Encodes the fields of messages between the system's own processes as MessagePack. Each slice
// keeps its codec separate from its decisions and builds its value types from these tuples.
//
//     const std::string bytes = packFields(std::make_tuple(version, number));
//     const result<std::tuple<int, long>> fields = unpackFields<std::tuple<int, long>>(bytes);

#pragma once

#include "lycheeshunt/base/result.h"

#include <msgpack.hpp>

#include <algorithm>
#include <string>
#include <string_view>

namespace lycheeshunt::base {

template <typename tuple_type>
std::string packFields(const tuple_type &fields)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, fields);
    return std::string(buffer.data(), buffer.size());
}

// Bounds the memory that the decoder takes for a hostile message: an array or text can't have more
// items than the message has bytes.
inline msgpack::unpack_limit unpackLimit(std::size_t messageBytes, std::size_t maxItems = 200'000)
{
    constexpr std::size_t maxBytes = 4 * 1024 * 1024;
    constexpr std::size_t maxDepth = 8;
    const std::size_t items = std::min(maxItems, messageBytes);
    const std::size_t bytes = std::min(maxBytes, messageBytes);
    return msgpack::unpack_limit(items, 0, bytes, bytes, 0, maxDepth);
}

// Returns messageMalformed for invalid bytes and for bytes that follow the tuple.
template <typename tuple_type>
result<tuple_type> unpackFields(std::string_view bytes)
{
    try {
        std::size_t offset = 0;
        const msgpack::object_handle handle = msgpack::unpack(
            bytes.data(), bytes.size(), offset, nullptr, nullptr, unpackLimit(bytes.size()));
        if (offset != bytes.size())
            return error {error_code::messageMalformed, "bytes after the message"};
        if (handle.get().type != msgpack::type::ARRAY
            || handle.get().via.array.size != std::tuple_size_v<tuple_type>)
            return error {error_code::messageMalformed, "wrong number of fields"};
        return handle.get().as<tuple_type>();
    } catch (const std::exception &failure) {
        return error {error_code::messageMalformed, failure.what()};
    }
}

} // namespace lycheeshunt::base
