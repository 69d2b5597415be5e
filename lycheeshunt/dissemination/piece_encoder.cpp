#include "lycheeshunt/dissemination/piece_encoder.h"

#include "lycheeshunt/base/compression.h"
#include "lycheeshunt/dissemination/codec.h"
#include "lycheeshunt/dissemination/send_piece.h"

namespace lycheeshunt::dissemination {

std::string piece_encoder::encode(const send_piece &send)
{
    const snapshot_cut &piece = *send.piece;
    if (m_forms.count(send.piece) == 0)
        prune();
    encoded_forms &forms = m_forms[send.piece];
    if (!send.isCompressed) {
        if (!forms.plain) {
            forms.plain.emplace(encodePieceBody(piece));
            ++m_encoded;
        }
        return encodePiece(piece.at, send.newest, *forms.plain);
    }
    if (!forms.compressed) {
        forms.compressed.emplace(base::compress(encodePieceBody(piece)));
        ++m_encoded;
    }
    return encodeCompressedPiece(piece.at, send.newest, send.follows, *forms.compressed);
}

void piece_encoder::prune()
{
    std::erase_if(m_forms, [](const std::pair<const shared_cut, encoded_forms> &row) {
        return row.first.use_count() == 1;
    });
}

} // namespace lycheeshunt::dissemination
