#ifndef CURRANTSPAR_IO_PEER_CODEC_HPP
#define CURRANTSPAR_IO_PEER_CODEC_HPP

#include <optional>

#include "currantspar/core/effect.hpp"
#include "peer.capnp.h"

namespace currantspar::io {

/// Writes a message in the form that travels between nodes. Thread safe.
void write_message(wire::Message::Builder out, const node_id& from, incarnation process,
                   const core::send_peer& message);

/// Reads what write_message wrote. Nothing when the kind is unknown to this binary or its records can't be
/// read; throws kj::Exception when the bytes are malformed. Thread safe.
[[nodiscard]] std::optional<core::peer_received> read_message(wire::Message::Reader in);

} // namespace currantspar::io

#endif
