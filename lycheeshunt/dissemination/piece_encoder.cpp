#include "lycheeshunt/dissemination/piece_encoder.h"

#include "lycheeshunt/dissemination/codec.h"
#include "lycheeshunt/dissemination/send_piece.h"

namespace lycheeshunt::dissemination {

std::string piece_encoder::encode(const send_piece &send)
{
    auto found = m_bodies.find(send.piece);
    if (found == m_bodies.end()) {
        prune();
        found = m_bodies.emplace(send.piece, encodePieceBody(*send.piece)).first;
        ++m_encoded;
    }
    return encodePieceHead(*send.piece, send.newest, send.follows) + found->second;
}

void piece_encoder::prune()
{
    std::erase_if(m_bodies, [](const std::pair<const shared_cut, std::string> &row) {
        return row.first.use_count() == 1;
    });
}

} // namespace lycheeshunt::dissemination
