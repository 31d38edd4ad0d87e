#pragma once

#include "Schema/generated/Settings.h"
#include "StandIns/LoadReport.h"

namespace marigold::standins {

/// Generates load for the configured duration. On SIGTERM or SIGINT, starts no
/// further requests and finishes those in progress. Runs on the calling thread.
/// Fails with SettingInvalid.
Result<LoadReport> runLoad(const LoadSettings &Settings);

} // namespace marigold::standins
