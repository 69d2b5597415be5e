// Encodes each shared piece once, although the generation that is sent with it changes.
//
//     piece_encoder encoder;
//     const std::string bytes = encoder.encode(send);
//
// Not thread-safe.

#pragma once

#include "lycheeshunt/base/compressed_bytes.h"
#include "lycheeshunt/dissemination/snapshot_cut.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace lycheeshunt::dissemination {

struct send_piece;

class piece_encoder
{
public:
    std::string encode(const send_piece &send);
    // Removes the pieces that nothing else refers to any more.
    void prune();

    // Number of pieces encoded since the start; one that is sent in both forms counts twice.
    std::uint64_t encoded() const { return m_encoded; }

private:
    struct encoded_forms
    {
        std::optional<std::string> plain = {};
        std::optional<base::compressed_bytes> compressed = {};
    };

    std::map<shared_cut, encoded_forms> m_forms;
    std::uint64_t m_encoded = 0;
};

} // namespace lycheeshunt::dissemination
