#ifndef CORNELDECK_ENTRY_ENTRYSETTINGS_H
#define CORNELDECK_ENTRY_ENTRYSETTINGS_H

#include "Base/Error.h"
#include "Settings/Reader.h"

#include <string>
#include <vector>

namespace corneldeck::entry {

/// The checked settings of corneldeck-entry.
struct EntrySettings {
  std::string m_Node;
  std::string m_Zone;
  /// Where callers and operators connect; also the status pages.
  std::string m_HttpAddress;
  /// Where other processes send control messages.
  std::string m_ControlAddress;
  std::string m_LogAddress;
  /// Control addresses of entries, this one may be among them.
  std::vector<std::string> m_Entries;
  /// The longest time that a planned stop waits for requests in flight, after
  /// the answers that name this entry have expired.
  base::Millis m_StopTimeout{};
  std::size_t m_MaxConnections = 0;
  std::size_t m_TimelineEvents = 0;
  bool m_LogRequests = false;
};

/// Reads and checks the settings.
/// \returns the settings, or BadSettings with every problem, one a line.
base::Result<EntrySettings> readEntrySettings(settings::Reader Reader);

} // namespace corneldeck::entry

#endif
