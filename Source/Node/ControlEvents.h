#ifndef CORNELDECK_NODE_CONTROLEVENTS_H
#define CORNELDECK_NODE_CONTROLEVENTS_H

#include "Base/Events.h"
#include "Catalogue/Follower.h"
#include "Membership/Members.h"

namespace corneldeck::node {

/// \returns the time line event for a follower event.
base::EventId toEventId(catalogue::FollowerEvent Event);

/// \returns the time line event for a membership change.
base::EventId toEventId(membership::MemberEvent::Type Change);

} // namespace corneldeck::node

#endif
