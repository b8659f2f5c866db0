#ifndef CORNELDECK_RANKGROUP_RANKCODEC_H
#define CORNELDECK_RANKGROUP_RANKCODEC_H

#include "Base/Error.h"
#include "RankGroup/RankTypes.h"
#include "Wire/Rank.pb.h"

namespace corneldeck::rankgroup {

/// \returns \p Content in the wire format between the ranks of \p Group.
wire::RankMessage toWire(const std::string &Group, const Message &Content);

/// \returns the decoded message, or BadMessage if \p Content has no body or an
/// invalid one.
base::Result<Message> fromWire(const wire::RankMessage &Content);

} // namespace corneldeck::rankgroup

#endif
