#include "lycheeshunt/replication/codec.h"

#include "lycheeshunt/base/codec.h"
#include "lycheeshunt/replication/log_entry.h"

#include <tuple>

namespace lycheeshunt::replication {

namespace {

using entry_fields
    = std::tuple<std::uint64_t, std::uint64_t, std::uint8_t, std::int64_t, std::string>;

} // namespace

std::string encodeEntry(const log_entry &entry)
{
    return base::packFields(entry_fields(entry.index.value(), entry.term,
                                         static_cast<std::uint8_t>(entry.kind),
                                         entry.acceptedAt.millis(), entry.payload));
}

base::result<log_entry> decodeEntry(std::string_view bytes)
{
    const base::result<entry_fields> fields = base::unpackFields<entry_fields>(bytes);
    if (const base::error *failure = base::errorOf(fields))
        return *failure;
    const auto &[index, term, kind, acceptedAt, payload] = base::valueOf(fields);
    if (kind > static_cast<std::uint8_t>(entry_kind::configuration))
        return base::error {base::error_code::messageMalformed, "unknown kind of log entry"};
    return log_entry {base::generation(index), term, static_cast<entry_kind>(kind),
                      base::clock_time::ofMillis(acceptedAt), payload};
}

} // namespace lycheeshunt::replication
