#ifndef CORNELDECK_NODE_CONTROLEVENTS_H
#define CORNELDECK_NODE_CONTROLEVENTS_H

#include "Base/Events.h"
#include "Catalogue/Follower.h"
#include "Membership/Members.h"

namespace corneldeck::node {

/// \returns the numbered event that tells of \p Event.
base::EventId toEventId(catalogue::FollowerEvent Event);

/// \returns the numbered event that tells of \p What.
base::EventId toEventId(membership::MemberEvent::Type Change);

} // namespace corneldeck::node

#endif
