// Encodes each shared piece once, although the generation that is sent with it changes.
//
//     piece_encoder encoder;
//     const std::string bytes = encoder.encode(send);
//
// Not thread-safe.

#pragma once

#include "lycheeshunt/dissemination/snapshot_cut.h"

#include <cstdint>
#include <map>
#include <string>

namespace lycheeshunt::dissemination {

struct send_piece;

class piece_encoder
{
public:
    // Returns the bytes that encodeControlMessage() returns for the same snapshot_piece.
    std::string encode(const send_piece &send);
    // Forgets the pieces that nothing else refers to any more.
    void prune();

    // Number of pieces encoded since the start.
    std::uint64_t encoded() const { return m_encoded; }

private:
    std::map<shared_cut, std::string> m_bodies;
    std::uint64_t m_encoded = 0;
};

} // namespace lycheeshunt::dissemination
