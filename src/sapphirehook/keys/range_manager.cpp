#include "sapphirehook/keys/range_manager_impl.hpp"

namespace sapphirehook {

template class BasicRangeManager<RangeManagerRules>;

} // namespace sapphirehook
