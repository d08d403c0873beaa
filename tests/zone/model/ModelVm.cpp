#include "zone/model/ModelVm.h"

namespace lacewingmux {

ModelVm::ModelVm(ModelNetwork &network, ModelChecks &checks, const VmDescriptor &self,
                 const JournalSettings &settings, const JournalFaults &faults)
    : descriptor(self)
    , hub(network, self.incarnation)
    , journal(this->hub, this->timers, this->metrics, self, settings, faults)
    , claims(this->journal, checks, self.incarnation)
{ }

} // namespace lacewingmux
