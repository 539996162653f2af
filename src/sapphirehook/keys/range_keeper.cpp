#include "sapphirehook/keys/range_keeper_impl.hpp"

namespace sapphirehook {

template class BasicRangeKeeper<KeeperRules>;

} // namespace sapphirehook
