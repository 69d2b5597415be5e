#include "lycheeshunt/base/build_identity.h"

#include "source_digest.h"

namespace lycheeshunt::base {

std::string_view sourceDigest()
{
    return LYCHEESHUNT_SOURCE_DIGEST;
}

} // namespace lycheeshunt::base
