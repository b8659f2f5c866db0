#include "Node/ControlEvents.h"

namespace corneldeck::node {

using base::EventId;

EventId toEventId(catalogue::FollowerEvent Event) {
  switch (Event) {
  case catalogue::FollowerEvent::LogUnavailable:
    return EventId::LogUnavailable;
  case catalogue::FollowerEvent::LogAvailable:
    return EventId::LogBack;
  case catalogue::FollowerEvent::LogGap:
    return EventId::LogGap;
  case catalogue::FollowerEvent::SnapshotLoaded:
    return EventId::SnapshotLoaded;
  case catalogue::FollowerEvent::LoadedFromPeer:
    return EventId::CatalogueFromPeer;
  }
  return EventId::LogGap;
}

EventId toEventId(membership::MemberEvent::Type Change) {
  switch (Change) {
  case membership::MemberEvent::Type::Joined:
  case membership::MemberEvent::Type::Returned:
  case membership::MemberEvent::Type::Replaced:
    return EventId::NodeReturned;
  case membership::MemberEvent::Type::Leaving:
    return EventId::NodeLeaving;
  case membership::MemberEvent::Type::Silent:
  case membership::MemberEvent::Type::Lost:
    return EventId::NodeLost;
  }
  return EventId::NodeLost;
}

} // namespace corneldeck::node
