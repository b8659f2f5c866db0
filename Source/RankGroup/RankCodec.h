#ifndef CORNELDECK_RANKGROUP_RANKCODEC_H
#define CORNELDECK_RANKGROUP_RANKCODEC_H

#include "Base/Error.h"
#include "RankGroup/RankTypes.h"
#include "Wire/Rank.pb.h"

namespace corneldeck::rankgroup {

/// \returns \p Content as the ranks of \p Group send it to each other.
wire::RankMessage toWire(const std::string &Group, const Message &Content);

/// \returns the message in \p Content, or BadMessage if it is not complete.
base::Result<Message> fromWire(const wire::RankMessage &Content);

} // namespace corneldeck::rankgroup

#endif
