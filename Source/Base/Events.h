#ifndef CORNELDECK_BASE_EVENTS_H
#define CORNELDECK_BASE_EVENTS_H

#include <span>
#include <string_view>

namespace corneldeck::base {

/// The numbered events of the logs and the timeline.
///
/// docs/EVENTS.md lists them. A number is never reused for another event.
enum class EventId {
  // Process: 1000.
  ProcessStarted = 1000,
  ProcessStopping = 1001,
  ProcessStopped = 1002,
  SettingsRejected = 1003,
  SettingsReloaded = 1004,
  ReadinessChanged = 1005,
  // Requests at an entry: 1100.
  RequestAccepted = 1100,
  RequestRefused = 1101,
  RequestAnswered = 1102,
  RequestFailed = 1103,
  AttemptSent = 1110,
  AttemptRetried = 1111,
  AttemptAttached = 1112,
  AttemptResumed = 1113,
  AttemptCancelled = 1114,
  AttemptEnded = 1115,
  // Requests at an agent: 1200.
  RunStarted = 1200,
  RunEnded = 1201,
  RunRefused = 1202,
  ClaimTaken = 1210,
  ClaimDuplicate = 1211,
  ClaimRefused = 1212,
  ClaimMoved = 1213,
  // Connections and membership: 1300.
  LinkUp = 1300,
  LinkSilent = 1301,
  LinkReplaced = 1302,
  LinkClosed = 1303,
  NodeLeaving = 1310,
  NodeLost = 1311,
  NodeReturned = 1312,
  BadFrame = 1320,
  // Catalogue and log: 1400.
  ChangePublished = 1400,
  ChangeAccepted = 1401,
  ChangeRejected = 1402,
  SnapshotWritten = 1403,
  SnapshotLoaded = 1404,
  CatalogueFromPeer = 1405,
  CatalogueTooOld = 1406,
  LogUnavailable = 1410,
  LogBack = 1411,
  LogGap = 1412,
  ConfigurationInForce = 1420,
  ServersChanged = 1421,
  RecordUnreadable = 1422,
  ServerRateLimit = 1423,
  FeedFetched = 1424,
  ServerNoticed = 1425,
  LogEraChanged = 1426,
  EngineProfileRead = 1427,
  ServerEnded = 1428,
  DependencyLost = 1430,
  DependencyBack = 1431,
  CallerCutOff = 1432,
  PartQuarantined = 1440,
  PartConfirmed = 1441,
  PartOnTrial = 1442,
  PartReleased = 1443,
  ZoneEvacuated = 1450,
  ZoneEvacuationEnded = 1451,
  ServerCold = 1452,
  ServerWarm = 1453,
  // Leases: 1500.
  LeaseAcquired = 1500,
  LeaseRenewed = 1501,
  LeaseLost = 1502,
  OrderSent = 1510,
  OrderRefused = 1511,
  // Rank groups: 1600.
  MapProposed = 1600,
  MapVoted = 1601,
  MapCommitted = 1602,
  MapAborted = 1603,
  ExpertsLoaded = 1604,
  GroupOut = 1605,
  GroupBack = 1606,
  StragglerFound = 1607,
  RebalancePlanned = 1608,
  PlannerChanged = 1609,
  EngineOrdered = 1610,
  GroupHeld = 1611,
  GroupReleased = 1612,
  CountsTaken = 1613,
  GroupServersChanged = 1614,
  GroupLimitChanged = 1615
};

/// The description of one event.
struct EventInfo {
  EventId m_Id;
  std::string_view m_Name;
  std::string_view m_Meaning;
};

/// \returns the table of all events, in ascending order of their numbers.
std::span<const EventInfo> events();

/// \returns the name of \p Id, such as "link-silent".
std::string_view name(EventId Id);

} // namespace corneldeck::base

#endif
