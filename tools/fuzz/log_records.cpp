#include "lycheeshunt/replication/codec.h"
#include "lycheeshunt/replication/configuration.h"
#include "lycheeshunt/replication/internal/record.h"
#include "lycheeshunt/replication/log_entry.h"

#include "tools/fuzz/fuzz_target.h"

using namespace lycheeshunt;

int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view bytes = fuzz::textOf(data, size);
    const base::result<replication::internal::record_scan> scan
        = replication::internal::scanRecords(bytes, "log");
    if (base::isOk(scan))
        fuzz::require(base::valueOf(scan).validBytes <= size);
    const base::result<std::vector<replication::log_entry>> entries
        = replication::decodeEntries(bytes);
    if (base::isOk(entries)) {
        const base::result<std::vector<replication::log_entry>> again
            = replication::decodeEntries(replication::encodeEntries(base::valueOf(entries)));
        fuzz::require(base::isOk(again) && base::valueOf(again) == base::valueOf(entries));
    }
    const base::result<replication::configuration> members
        = replication::decodeConfiguration(bytes);
    if (base::isOk(members))
        fuzz::require(base::isOk(replication::decodeConfiguration(
            replication::encodeConfiguration(base::valueOf(members)))));
    return 0;
}
