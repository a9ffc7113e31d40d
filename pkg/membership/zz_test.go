package membership_test
import ("testing";"fmt";"time")
func TestZZ(t *testing.T){
 w:=fleetOf(7,5,3)
 for i:=0;i<60;i++{ w.runUntil(w.now+25*time.Millisecond)
  s:=""
  for _,n:=range w.names{ m:=w.nodes[n].machine; var v uint64; var mon any
   for _,r:=range m.Members(){ if string(r.Info.ID)==n { v=r.MonitorSetVersion; mon=r.Monitors}}
   s+=fmt.Sprintf(" %v/%d/v%d%v", w.serves(n), m.FenceCount(), v,mon)}
  fmt.Println(w.now,s)}
}
