#include "sapphirehook/ownership/authority.hpp"

namespace sapphirehook {

template class BasicGroupAuthority<AuthorityRules>;

} // namespace sapphirehook
