#include "lycheeshunt/membership/codec.h"
#include "lycheeshunt/membership/membership_batch.h"

#include "tools/fuzz/fuzz_target.h"

using namespace lycheeshunt;

int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view bytes = fuzz::textOf(data, size);
    const base::result<membership::member_frame> frame = membership::decodeFrame(bytes);
    fuzz::require(base::isOk(frame) || base::errorOf(frame)->code != base::error_code());
    const base::result<membership::membership_batch> batch = membership::decodeBatch(bytes);
    if (base::isOk(batch)) {
        const base::result<membership::membership_batch> again
            = membership::decodeBatch(membership::encodeBatch(base::valueOf(batch)));
        fuzz::require(base::isOk(again) && base::valueOf(again) == base::valueOf(batch));
    }
    return 0;
}
