#include "Ctl/ExitCode.h"

#include <array>

namespace corneldeck::ctl {

namespace {

constexpr std::array Table{
    ExitCodeInfo{ExitCode::Ok, "ok", "Done."},
    ExitCodeInfo{ExitCode::Rejected, "rejected",
                 "The change lost or was not allowed; nothing changed."},
    ExitCodeInfo{ExitCode::Usage, "usage", "The command line is wrong."},
    ExitCodeInfo{ExitCode::Invalid, "invalid", "A file is wrong."},
    ExitCodeInfo{ExitCode::Unreachable, "unreachable",
                 "No entry could be asked; nothing was done."},
    ExitCodeInfo{ExitCode::Unknown, "unknown",
                 "The change may have taken effect; repeat the command with "
                 "the same --change-id."},
    ExitCodeInfo{ExitCode::NotInForceYet, "not-in-force-yet",
                 "Accepted, but some node lags; see corneldeckctl status."},
    ExitCodeInfo{ExitCode::Differs, "differs",
                 "The file and the catalogue differ."},
    ExitCodeInfo{ExitCode::Failed, "failed", "An entry answered an error."},
};

} // namespace

std::span<const ExitCodeInfo> exitCodes() { return Table; }

} // namespace corneldeck::ctl
