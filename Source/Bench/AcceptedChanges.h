#ifndef CORNELDECK_BENCH_ACCEPTEDCHANGES_H
#define CORNELDECK_BENCH_ACCEPTEDCHANGES_H

#include "Catalogue/View.h"
#include "Fakes/FakeLog.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace corneldeck::bench {

/// One accepted change of one entry.
struct AcceptedChange {
  std::uint64_t m_Offset = 0;
  std::string m_AppendId;
  wire::CatalogueChange m_Change;
};

/// The oracle of the catalogue: a plain list of the accepted changes, worked
/// out from every record that the log ever took.
class AcceptedChanges {
public:
  /// Goes on with the records that were appended since the last call.
  void update(const fakes::FakeLog &Log);

  /// \returns whether the append with this identifier was accepted.
  [[nodiscard]] bool accepted(const std::string &AppendId) const;

  /// \returns whether an append with this identifier is in the log.
  [[nodiscard]] bool seen(const std::string &AppendId) const {
    return m_Seen.contains(AppendId);
  }

  /// \returns the offset of the newest accepted change up to and with \p UpTo;
  /// 0 if there is none.
  [[nodiscard]] std::uint64_t newestChange(std::uint64_t UpTo) const;

  /// \returns "" if \p View shows just the changes up to its offset, else what
  /// differs.
  [[nodiscard]] std::string compare(const catalogue::View &View) const;

private:
  [[nodiscard]] const AcceptedChange *newest(const std::string &Entry,
                                             std::uint64_t UpTo) const;
  [[nodiscard]] bool fits(const wire::CatalogueChange &Change) const;

  std::size_t m_Read = 0;
  std::set<std::string> m_Seen;
  std::vector<AcceptedChange> m_Accepted;
};

} // namespace corneldeck::bench

#endif
