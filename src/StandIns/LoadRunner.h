#pragma once

#include "Schema/generated/Settings.h"
#include "StandIns/LoadReport.h"

namespace marigold::standins {

/// Runs the callers of the settings to the end, or until SIGTERM or SIGINT,
/// after which requests in progress are finished. One thread. Fails with
/// SettingInvalid.
Result<LoadReport> runLoad(const LoadSettings &Settings);

} // namespace marigold::standins
