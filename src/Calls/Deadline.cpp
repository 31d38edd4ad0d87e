#include "Calls/Deadline.h"

#include <algorithm>

namespace marigold::calls {

Deadline Deadline::after(TimePoint Now, Duration Remaining) {
  return Deadline(timeAfter(Now, Remaining));
}

Duration Deadline::remaining(TimePoint Now) const {
  return passed(Now) ? Duration::zero() : At_ - Now;
}

Duration Deadline::forNextLevel(TimePoint Now) const {
  Duration Left = remaining(Now);
  Duration Kept = std::max(DeadlineMargin, Left / 64);
  return Left > Kept ? Left - Kept : Duration::zero();
}

Deadline Deadline::limitedTo(TimePoint Now, Duration Limit) const {
  return Deadline(std::min(At_, after(Now, Limit).At_));
}

} // namespace marigold::calls
