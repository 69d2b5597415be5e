// The lists of a view change on the wire: eight, and ten if the change concerns evacuated zones, so
// that a deployment without evacuations sends what builds without them send.

#pragma once

#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace lycheeshunt::dissemination::internal {

using numbers = std::vector<std::uint64_t>;
using texts = std::vector<std::string>;

// Services updated, removed; members updated, removed; names draining, no longer draining; routes
// updated, removed.
using change_lists = std::tuple<texts, numbers, texts, numbers, texts, texts, texts, texts>;

struct change_fields
{
    change_lists lists;
    // Zones evacuated, and no longer evacuated.
    texts evacuated;
    texts returned;
};

} // namespace lycheeshunt::dissemination::internal

// How msgpack packs and converts the lists.
namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
    namespace adaptor {

    template <>
    struct pack<lycheeshunt::dissemination::internal::change_fields>
    {
        template <typename stream_type>
        packer<stream_type> &
        operator()(packer<stream_type> &to,
                   const lycheeshunt::dissemination::internal::change_fields &fields) const
        {
            if (fields.evacuated.empty() && fields.returned.empty())
                return to.pack(fields.lists);
            return to.pack(
                std::tuple_cat(fields.lists, std::make_tuple(fields.evacuated, fields.returned)));
        }
    };

    template <>
    struct convert<lycheeshunt::dissemination::internal::change_fields>
    {
        const msgpack::object &
        operator()(const msgpack::object &from,
                   lycheeshunt::dissemination::internal::change_fields &fields) const
        {
            constexpr std::size_t evacuatedAt
                = std::tuple_size_v<lycheeshunt::dissemination::internal::change_lists>;
            constexpr std::size_t returnedAt = evacuatedAt + 1;
            from.convert(fields.lists);
            if (from.via.array.size > returnedAt) {
                from.via.array.ptr[evacuatedAt].convert(fields.evacuated);
                from.via.array.ptr[returnedAt].convert(fields.returned);
            }
            return from;
        }
    };

    } // namespace adaptor
}
} // namespace msgpack
